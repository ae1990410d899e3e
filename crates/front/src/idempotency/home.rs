use dotterelhook_peer::membership::Member;
use rapidhash::v3::rapidhash_v3;

use super::RequestKey;

/// Returns the front that keeps a key: the one with the largest hash of front and key.
pub fn home<'a>(key: &RequestKey, fronts: &'a [Member]) -> Option<&'a Member> {
    fronts.iter().max_by_key(|front| {
        let text = format!("{} {} {}", front.heartbeat.member, key.service, key.key);
        rapidhash_v3(text.as_bytes())
    })
}
