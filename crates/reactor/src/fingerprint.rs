//! Fingerprints of requests, by which entry VMs recognise a request that comes again.

use camphordale_fleet::{
    Fingerprint,
    Key, //
};
use camphordale_http::Request;

/// Returns the fingerprint of a request: a hash of its method, host, path with query, shard key and
/// body.
///
/// The host counts as it does for routes, without its port and in lower case. No other header field
/// counts, as each attempt of a caller has its own request id and deadline.
///
/// All entry VMs must compute the same value, so the hash has no secret. A caller must not be able
/// to make a request with the fingerprint of another caller's request, which would then be refused
/// with its own. Therefore the hash is a cryptographic one.
///
/// ```
/// use camphordale_http::Request;
/// use camphordale_reactor::fingerprint;
///
/// let request = |id: &str| Request {
///     method: "GET".into(),
///     path: "/a/b?c".into(),
///     headers: vec![("host".into(), "a.example".into()), ("request-id".into(), id.into())],
///     body: Vec::new(),
///     peer: ([127, 0, 0, 1], 80).into(),
/// };
/// assert_eq!(fingerprint(&request("1"), Some(7)), fingerprint(&request("2"), Some(7)));
/// assert_ne!(fingerprint(&request("1"), Some(7)), fingerprint(&request("1"), None));
/// ```
pub fn fingerprint(request: &Request, key: Option<Key>) -> Fingerprint {
    let host = request.header("host").unwrap_or_default();
    let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
    let key = key.map(Key::to_le_bytes);
    let parts = [
        request.method.as_bytes(),
        host.as_bytes(),
        request.path.as_bytes(),
        key.as_ref().map_or(&[][..], |key| &key[..]),
        &request.body,
    ];
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // The length in front of each part keeps bytes from moving to the next one unnoticed.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut hash = [0; size_of::<Fingerprint>()];
    hasher.finalize_xof().fill(&mut hash);
    Fingerprint::from_le_bytes(hash)
}
