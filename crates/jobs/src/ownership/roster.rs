use std::cmp::Reverse;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::MemberName;
use super::OwnerContext;
use super::handover::may_claim;
use super::topics;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::platform::StoreError;
use crate::store_access::ChangeFeed;
use crate::store_access::FeedBatch;

/// The pause after a failed registration.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The hosts that are asked at once whether they may claim a cell, strongest first.
const ASKED_MAX: usize = 8;

/// Notes this process as the one that runs on its host.
///
/// The group names only members that hold partitions, which most hosts of a large deployment don't.
pub(super) async fn register(context: Arc<OwnerContext>) {
    let member = &context.member;
    let record = KeyedRecord {
        key: member.host.clone(),
        value: member.to_string().into(),
    };
    // The store's health is logged where it is tracked.
    while context
        .store
        .append(topics::roster(), std::slice::from_ref(&record), None)
        .await
        .is_err()
    {
        sleep(RETRY_PAUSE).await;
    }
}

/// Returns the last process of each other host, those that suit best as owners first; some may be
/// gone.
pub(super) async fn other_hosts(context: &OwnerContext) -> Result<Vec<MemberName>, StoreError> {
    let mut feed = ChangeFeed::new(Arc::clone(&context.store), topics::roster());
    let (FeedBatch::Snapshot(records) | FeedBatch::Changes(records)) =
        feed.next(Duration::ZERO).await?;
    let mut hosts: Vec<MemberName> = records.iter().filter_map(read_member).collect();
    hosts.retain(|member| member.host != context.member.host);
    hosts.sort_by_key(|member| Reverse(member.election_priority()));
    Ok(hosts)
}

/// Returns those of the strongest hosts that say that they may claim a cell, strongest first.
pub(super) async fn ready_hosts(
    context: &Arc<OwnerContext>,
    hosts: &[MemberName],
) -> Vec<MemberName> {
    let mut asked = JoinSet::new();
    for host in hosts.iter().take(ASKED_MAX) {
        let context = Arc::clone(context);
        let host = host.clone();
        asked.spawn(async move { may_claim(&context, &host).await.then_some(host) });
    }
    let mut ready: Vec<MemberName> = asked.join_all().await.into_iter().flatten().collect();
    ready.sort_by_key(|member| Reverse(member.election_priority()));
    ready
}

fn read_member(record: &KeyedRecord) -> Option<MemberName> {
    let text = std::str::from_utf8(&record.value).ok()?;
    match MemberName::from_str(text) {
        Ok(member) => Some(member),
        Err(error) => {
            decided!(Decision::RecordUnreadable, key: record.key, cause: error);
            None
        }
    }
}
