use super::*;

/// Guards against bytes that are lost or duplicated where a message crosses from one buffer to the next.
#[test]
fn a_long_message_keeps_its_bytes_and_gives_its_buffers_back() {
    let pool = Pool::default();
    let message: Vec<u8> = (0..3 * SIZE + 17).map(|i| (i % 251) as u8).collect();
    let (mut chain, mut front) = (pool.chain(), pool.chain());
    chain.push(&message);
    chain.move_front_to(SIZE + 5, &mut front);
    assert_eq!((front.len(), chain.len()), (SIZE + 5, 2 * SIZE + 12));
    assert_eq!(front.copy_front(usize::MAX - 1), message[..SIZE + 5]);
    assert_eq!(chain.copy_front(usize::MAX - 1), message[SIZE + 5..]);
    assert_eq!(chain.bytes().next(), Some(message[SIZE + 5]));
    let skipped: usize = chain.io_slices(SIZE).iter().map(|slice| slice.len()).sum();
    assert_eq!(skipped, SIZE + 12);
    chain.consume(SIZE);
    assert_eq!(chain.copy_front(3), message[2 * SIZE + 5..2 * SIZE + 8]);
    drop((chain, front));
    assert!(pool.0.free.borrow().len() >= 4, "the buffers are free again");
    assert_eq!(pool.0.in_use.get(), 0);
}

/// Guards the memory limit: buffers in use are counted, and while memory is low messages are transferred in small parts.
#[test]
fn a_pool_low_on_memory_gives_small_parts() {
    let pool = Pool::default();
    pool.set_limit(8 * SIZE);
    let mut chain = pool.chain();
    chain.push(&[0; 5 * SIZE]);
    assert!(!pool.is_low() && pool.part_size() > SIZE);
    chain.push(&[0; SIZE]);
    assert!(pool.is_low() && pool.part_size() == SIZE);
    chain.consume(SIZE);
    assert!(!pool.is_low());
}

/// Guards against a message that is held twice because its rest was copied to be sent later, and against a shared buffer that
/// one of its chains changes or returns to the pool while the other still has bytes in it.
#[test]
fn chains_that_share_buffers_keep_their_own_bytes() {
    let pool = Pool::default();
    let message: Vec<u8> = (0..2 * SIZE + 100).map(|i| (i % 251) as u8).collect();
    let (mut original, mut shared) = (pool.chain(), pool.chain());
    original.push(&message);
    shared.push_shared(&original, SIZE + 10);
    assert_eq!(pool.0.in_use.get(), 3, "nothing was copied");
    assert_eq!(shared.copy_front(usize::MAX), message[SIZE + 10..]);
    shared.push(b"more");
    original.push(b"other");
    assert_eq!(shared.copy_front(usize::MAX), [&message[SIZE + 10..], b"more"].concat());
    assert_eq!(original.copy_front(usize::MAX), [&message[..], b"other"].concat());
    drop(original);
    assert_eq!(shared.copy_front(usize::MAX), [&message[SIZE + 10..], b"more"].concat());
    shared.consume(shared.len());
    assert_eq!(pool.0.in_use.get(), 0);
}
