//! The platform's store: topics with partitions, newest records of keyed topics, groups.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::Response;
use crate::json::Json;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: u64,
    answers: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Partition {
    fn push(&mut self, record: Vec<u8>, is_keyed: bool) {
        if is_keyed {
            let end = 1 + record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..end]).into_owned();
            let value = record[end..].to_vec();
            match value.is_empty() {
                true => _ = self.newest.remove(&key),
                false => _ = self.newest.insert(key, (self.records.len() as u64, value)),
            }
        }
        self.records.push(record);
    }
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
    topic: String,
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u32), Partition>,
    groups: HashMap<String, Group>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

const PARTS: usize = 8;
const APPEND_TIME: Duration = Duration::from_millis(4);

impl Store {
    /// Writes a record of the operator or of an executor.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        partition.push(record, true);
        changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Response {
        std::thread::sleep(APPEND_TIME);
        match &*request.path {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.newest(request),
            "/log-join" => self.join(request, false),
            "/log-leave" => self.join(request, true),
            "/log-owners" => self.owners(request),
            _ => Response::json(404, "{}"),
        }
    }

    fn key(request: &Request) -> (String, u32) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let part = request.query("part").and_then(|part| part.parse().ok());
        (topic, part.unwrap_or(0))
    }

    fn append(&self, request: &Request) -> Response {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let key = Self::key(request);
        let is_keyed = key.0.starts_with("keyed.");
        let partition = state.partitions.entry(key).or_default();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let mut is_claim = false;
        if let Some(name) = request.query("producer") {
            let (epoch, sequence) = (
                number("epoch").unwrap_or(0),
                number("sequence").unwrap_or(0),
            );
            let producer = partition.producers.entry(name.to_owned()).or_default();
            if epoch < producer.epoch {
                return Response::json(409, r#"{"reason":"fenced"}"#);
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    last: sequence,
                    ..Producer::default()
                };
                is_claim = true;
            } else if let Some((_, offset, end)) =
                producer.answers.iter().find(|answer| answer.0 == sequence)
            {
                return Response::json(200, format!(r#"{{"offset":{offset},"end":{end}}}"#));
            } else if sequence != producer.last + 1 {
                return Response::json(
                    409,
                    format!(r#"{{"reason":"seq","sequence":{}}}"#, producer.last + 1),
                );
            }
        }
        let offset = partition.records.len() as u64;
        let mut body = &request.body[..];
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            partition.push(body[4..4 + length].to_vec(), is_keyed);
            body = &body[4 + length..];
        }
        let end = partition.records.len() as u64;
        if let Some(name) = request.query("producer") {
            let sequence = number("sequence").unwrap_or(0);
            let producer = partition.producers.entry(name.to_owned()).or_default();
            if !is_claim || end > offset {
                producer.last = sequence;
                producer.answers.push_back((sequence, offset, end));
                if producer.answers.len() > 5 {
                    producer.answers.pop_front();
                }
            }
        }
        changed.notify_all();
        Response::json(200, format!(r#"{{"offset":{offset},"end":{end}}}"#))
    }

    fn read(&self, request: &Request) -> Response {
        let (state, changed) = &*self.shared;
        let key = Self::key(request);
        let from: usize = request
            .query("from")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let wait: u64 = request
            .query("waitMs")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = state.lock().unwrap();
        loop {
            let partition = state.partitions.entry(key.clone()).or_default();
            let end = partition.records.len();
            let left = deadline.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in partition.records.iter().skip(from) {
                    if body.len() + record.len() > 1_000_000 {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Response { status: 200, body };
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Response {
        let mut state = self.shared.0.lock().unwrap();
        let partition = state.partitions.entry(Self::key(request)).or_default();
        let after = request.query("after").unwrap_or_default();
        let items: Vec<(&String, &(u64, Vec<u8>))> = partition
            .newest
            .iter()
            .filter(|(key, _)| key.as_str() > after)
            .collect();
        let rows = items.iter().take(500).map(|(key, (offset, value))| {
            format!(
                r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#,
                base64(value)
            )
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        let end = partition.records.len();
        Response::json(
            200,
            format!(
                r#"{{"items":[{rows}],"more":{},"end":{end}}}"#,
                items.len() > 500
            ),
        )
    }

    fn join(&self, request: &Request, leaves: bool) -> Response {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (Some(name), Some(member)) = (body.text("group"), body.text("member")) else {
            return Response::json(400, "{}");
        };
        let mut state = self.shared.0.lock().unwrap();
        let group = state.groups.entry(name.to_owned()).or_default();
        if let Some(Json::List(topics)) = body.get("topics")
            && let Some(Json::Text(topic)) = topics.first()
        {
            group.topic.clone_from(topic);
        }
        group.expire();
        if leaves {
            group.generation += u64::from(group.members.remove(member).is_some());
            return Response::json(200, "{}");
        }
        let ttl = Duration::from_millis(body.u64("ttlMs").unwrap_or(2_000));
        let is_new = group
            .members
            .insert(member.to_owned(), (Instant::now(), ttl))
            .is_none();
        group.generation += u64::from(is_new);
        let parts = group.parts().filter(|(_, owner)| *owner == member);
        let parts = parts.map(|(part, _)| format!(r#"["{}",{part},0]"#, group.topic));
        let parts = parts.collect::<Vec<_>>().join(",");
        Response::json(
            200,
            format!(
                r#"{{"generation":{},"ttlMs":{},"parts":[{parts}]}}"#,
                group.generation,
                ttl.as_millis()
            ),
        )
    }

    fn owners(&self, request: &Request) -> Response {
        let mut state = self.shared.0.lock().unwrap();
        let name = request.query("group").unwrap_or_default().to_owned();
        let group = state.groups.entry(name).or_default();
        group.expire();
        let rows = group
            .parts()
            .map(|(part, member)| format!(r#"["{}",{part},"{member}",0]"#, group.topic));
        Response::json(
            200,
            format!(r#"{{"parts":[{}]}}"#, rows.collect::<Vec<_>>().join(",")),
        )
    }
}

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, (at, ttl)| at.elapsed() <= *ttl);
        self.generation += u64::from(self.members.len() < before);
    }

    fn parts(&self) -> impl Iterator<Item = (usize, &str)> {
        let members: Vec<&str> = self.members.keys().map(|name| &**name).collect();
        let count = if members.is_empty() { 0 } else { PARTS };
        (0..count).map(move |part| (part, members[part % members.len()]))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().enumerate().fold(0_u32, |bits, (at, byte)| {
            bits | u32::from(*byte) << (16 - 8 * at)
        });
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * at)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
