use std::cmp::Reverse;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::MemberName;
use super::OwnerContext;
use super::claim_calls::query_may_claim;
use super::topics;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::platform::StoreError;
use crate::platform::StoreLimits;
use crate::store_access::ChangeFeed;
use crate::store_access::FeedBatch;

/// The pause after a failed registration.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The number of hosts that are queried concurrently whether they may claim a cell; those with the
/// highest election priority are queried.
pub(super) const QUERIED_HOSTS_MAX: usize = 8;

/// Registers this process as the one that runs on its host; retries until the store accepts or rejects
/// the record.
///
/// The group of hosts can't serve as the registry: it lists only members with assigned partitions,
/// and most hosts of a large deployment have none.
pub(super) async fn register(context: Arc<OwnerContext>) {
    let member = &context.member;
    let record = KeyedRecord {
        key: member.host.clone(),
        value: member.to_string().into(),
    };
    loop {
        let records = std::slice::from_ref(&record);
        let partition = topics::host_registry_partition();
        match context.store.append(partition, records, None).await {
            Ok(_) => return,
            Err(StoreError::Rejected(cause)) => {
                decided!(Decision::RecordRejected, key: record.key, bytes: StoreLimits::size_bytes(&record), cause: cause);
                return;
            }
            // `TrackedStore` logs failed calls.
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Returns the last registered process of each other host, in descending order of election
/// priority. Some of the processes may have ended.
pub(super) async fn registered_hosts(
    context: &OwnerContext,
) -> Result<Vec<MemberName>, StoreError> {
    let mut feed = ChangeFeed::new(
        Arc::clone(&context.store),
        topics::host_registry_partition(),
    );
    let (FeedBatch::Snapshot(records) | FeedBatch::Changes(records)) =
        feed.next(Duration::ZERO).await?;
    let mut hosts: Vec<MemberName> = records.iter().filter_map(decode_member).collect();
    hosts.retain(|member| member.host != context.member.host);
    hosts.sort_by_key(|member| Reverse(member.election_priority()));
    Ok(hosts)
}

/// Queries the first hosts of the list, and returns those that may claim a cell in descending order
/// of election priority.
pub(super) async fn hosts_ready_to_claim(
    context: &Arc<OwnerContext>,
    hosts: &[MemberName],
) -> Vec<MemberName> {
    let mut queries = JoinSet::new();
    for host in hosts.iter().take(QUERIED_HOSTS_MAX) {
        let context = Arc::clone(context);
        let host = host.clone();
        queries.spawn(async move { query_may_claim(&context, &host).await.then_some(host) });
    }
    let mut ready: Vec<MemberName> = queries.join_all().await.into_iter().flatten().collect();
    ready.sort_by_key(|member| Reverse(member.election_priority()));
    ready
}

fn decode_member(record: &KeyedRecord) -> Option<MemberName> {
    let text = std::str::from_utf8(&record.value).ok()?;
    match MemberName::from_str(text) {
        Ok(member) => Some(member),
        Err(error) => {
            decided!(Decision::RecordUnreadable, key: record.key, cause: error);
            None
        }
    }
}
