use super::*;
use crate::on_one_thread;

struct Pair {
    mesh: Mesh,
    sockets: [UdpSocket; 2],
    public: [SocketAddr; 2],
}

impl Pair {
    async fn new() -> Pair {
        let bind = async || UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let (sockets, mut mesh) = ([bind().await, bind().await], Mesh::new(7));
        let mut public = Vec::new();
        for socket in &sockets {
            public.push(mesh.add(socket.local_addr().expect("an address")).await.expect("a member").1);
        }
        Pair { mesh, sockets, public: [public[0], public[1]] }
    }

    async fn send(&self, from: usize, text: &str) {
        self.sockets[from].send_to(text.as_bytes(), self.public[1 - from]).await.expect("it is sent");
    }

    /// The next datagram at a member. Its source must be the other member's address in the mesh.
    async fn receive(&self, at: usize) -> String {
        let mut buffer = [0; 100];
        let (count, source) = self.sockets[at].recv_from(&mut buffer).await.expect("a datagram");
        assert_eq!(source, self.public[1 - at]);
        String::from_utf8_lossy(&buffer[..count]).into_owned()
    }

    /// Waits until the mesh has received this many datagrams, those of unknown senders included.
    async fn taken(&self, count: u64) -> Carried {
        loop {
            let carried = self.mesh.carried();
            if carried.taken + carried.strange >= count {
                return carried;
            }
            tokio::task::yield_now().await;
        }
    }
}

/// Guards against a partition that leaks or persists: a path that is cut in one direction drops only that direction, and
/// passes everything once it is healed. Datagrams of unknown senders are dropped, and a replaced member keeps its address.
#[test]
fn a_cut_affects_one_direction_only_and_heals() {
    on_one_thread(async {
        let mut pair = Pair::new().await;
        pair.mesh.set(0, 1, Path { cut: true, ..FREE });
        pair.send(0, "lost").await;
        pair.send(1, "back").await;
        assert_eq!(pair.receive(0).await, "back");
        assert_eq!(pair.taken(2).await.cut, 1);
        pair.mesh.heal();
        pair.mesh.part(&[0], &[1]);
        pair.send(1, "lost too").await;
        assert_eq!(pair.taken(3).await.cut, 2);
        pair.mesh.heal();
        pair.send(0, "there").await;
        assert_eq!(pair.receive(1).await, "there");
        let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        stranger.send_to(b"who", pair.public[0]).await.expect("it is sent");
        assert_eq!(pair.taken(5).await.strange, 1);
        pair.sockets[1] = stranger;
        pair.mesh.replace(1, pair.sockets[1].local_addr().expect("an address"));
        pair.send(0, "anew").await;
        assert_eq!(pair.receive(1).await, "anew");
    });
}

/// Guards against faults without effect: about the configured fractions of many datagrams are lost and duplicated, and
/// jitter reorders them.
#[test]
fn datagrams_are_lost_duplicated_and_reordered() {
    on_one_thread(async {
        let pair = Pair::new().await;
        pair.mesh.set(0, 1, Path { loss: 0.3, doubled: 0.2, ..FREE });
        let mut came = 0;
        for n in 0..400u64 {
            pair.send(0, &n.to_string()).await;
            pair.taken(n + 1).await;
            // Read as they arrive, because the kernel buffers only a limited number.
            while pair.mesh.carried().passed > came {
                pair.receive(1).await;
                came += 1;
            }
        }
        let lost = pair.mesh.carried().lost;
        assert!((80..160).contains(&lost), "{lost} lost");
        assert!((400 - lost + 25..400 - lost + 90).contains(&came), "{came} came, {lost} lost");
        pair.mesh.set(0, 1, Path { jitter: Duration::from_millis(20), ..FREE });
        let mut order = Vec::new();
        for n in 0..50 {
            pair.send(0, &format!("{n:02}")).await;
        }
        for _ in 0..50 {
            order.push(pair.receive(1).await);
        }
        assert!(!order.is_sorted(), "{order:?}");
    });
}
