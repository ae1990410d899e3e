use dotterelhook_peer::membership::Member;
use rapidhash::v3::rapidhash_v3;

use super::IdempotencyKey;

/// Returns a key's home by rendezvous hashing: the front with the largest hash of front and key.
pub fn key_home<'a>(key: &IdempotencyKey, fronts: &'a [Member]) -> Option<&'a Member> {
    fronts.iter().max_by_key(|front| {
        let text = format!("{} {} {}", front.heartbeat.member, key.service, key.key);
        rapidhash_v3(text.as_bytes())
    })
}
