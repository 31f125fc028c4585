//! Fingerprint of a configuration body, to recognize a body that is sent again.

/// Hash of a body's bytes: the first 128 bits of BLAKE3. The same on every machine and in every build.
pub type Fingerprint = [u8; FINGERPRINT_BYTES];

const FINGERPRINT_BYTES: usize = 16;

/// The fingerprint of a body. Any difference in the bytes, also in white space, gives a different fingerprint.
pub fn fingerprint(body: &[u8]) -> Fingerprint {
    let mut fingerprint = [0; FINGERPRINT_BYTES];
    blake3::Hasher::new().update(body).finalize_xof().fill(&mut fingerprint);
    fingerprint
}
