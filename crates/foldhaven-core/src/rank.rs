//! Rendezvous hashing: every daemon ranks the same candidates in the same order without
//! communication.

use xxhash_rust::xxh3::Xxh3;

/// Returns the hash of a sequence of strings. It is the same on every daemon and in every version.
pub fn rank_hash(parts: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// Returns the candidates in the order of their rank for `key`, highest first.
///
/// Removing a candidate does not change the order of the others.
pub fn rank_by<'a, T>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> = candidates
        .into_iter()
        .map(|candidate| (rank_hash(&[key, name(candidate)]), candidate))
        .collect();
    ranked
        .sort_by(|left, right| right.0.cmp(&left.0).then_with(|| name(left.1).cmp(name(right.1))));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
