//! A stand-in of the platform's store: keyed topics in memory, fenced appends, one group.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reply;
use crate::http::Request;
use crate::http::serve;
use crate::json::Json;
use crate::json::quote;

const PARTITIONS: u64 = 8;
/// The time that an append or a page takes.
const APPEND_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    logs: HashMap<(String, u64), Log>,
    members: Vec<(String, Instant)>,
    generation: u64,
}

#[derive(Default)]
struct Log {
    records: Vec<(String, Vec<u8>)>,
    epoch: u64,
    sequence: Option<u64>,
    answers: BTreeMap<u64, String>,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let handler = Arc::clone(&store);
        let address = serve(Arc::new(move |request| handler.handle(&request)));
        (store, address)
    }

    /// Writes a record as the operator or an executor does.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().expect("no panic");
        let log = state.logs.entry((topic.to_owned(), 0)).or_default();
        log.records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        let topic = request.query("topic").unwrap_or_default();
        let key = (topic, request.query_number("part").unwrap_or(0));
        match &*request.path {
            "/log-append" => {
                std::thread::sleep(APPEND_TIME);
                let mut state = self.state.lock().expect("no panic");
                let reply = state.logs.entry(key).or_default().append(request);
                self.changed.notify_all();
                reply
            }
            "/log-read" => self.read(key, request),
            "/log-newest" => {
                let mut state = self.state.lock().expect("no panic");
                state.logs.entry(key).or_default().newest(request)
            }
            "/log-join" => self.state.lock().expect("no panic").join(&request.body),
            "/log-leave" => self.state.lock().expect("no panic").leave(&request.body),
            "/log-owners" => self.state.lock().expect("no panic").owners(),
            _ => Reply::json(404, "{}".to_owned()),
        }
    }

    fn read(&self, key: (String, u64), request: &Request) -> Reply {
        let from = request.query_number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.query_number("waitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().expect("no panic");
        loop {
            let log = state.logs.entry(key.clone()).or_default();
            let left = deadline.saturating_duration_since(Instant::now());
            if log.records.len() > from || left.is_zero() {
                let mut body = (log.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in log.records.iter().skip(from) {
                    let length = 1 + key.len() + value.len();
                    body.extend_from_slice(&(length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return Reply::Answer(200, body);
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }
}

impl State {
    fn expire(&mut self) {
        let count = self.members.len();
        self.members.retain(|(_, until)| *until > Instant::now());
        self.generation += u64::from(self.members.len() < count);
    }

    fn join(&mut self, body: &[u8]) -> Reply {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return Reply::json(400, "{}".to_owned());
        };
        let name = call.get("member").text().to_owned();
        let ttl_ms = call.get("ttlMs").number().unwrap_or(1_000);
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        self.expire();
        match self.members.iter_mut().find(|(member, _)| *member == name) {
            Some((_, known)) => *known = until,
            None => {
                self.members.push((name.clone(), until));
                self.generation += 1;
            }
        }
        let position = self.members.iter().position(|(member, _)| *member == name);
        let topic = call.get("topics").list()[0].text().to_owned();
        let count = self.members.len() as u64;
        let parts: Vec<String> = (0..PARTITIONS)
            .filter(|part| Some((part % count) as usize) == position)
            .map(|part| format!("[{},{part},0]", quote(&topic)))
            .collect();
        let generation = self.generation;
        let parts = parts.join(",");
        Reply::json(
            200,
            format!("{{\"generation\":{generation},\"ttlMs\":{ttl_ms},\"parts\":[{parts}]}}"),
        )
    }

    fn leave(&mut self, body: &[u8]) -> Reply {
        if let Some(call) = Json::parse(&String::from_utf8_lossy(body)) {
            let name = call.get("member").text().to_owned();
            self.members.retain(|(member, _)| *member != name);
            self.generation += 1;
        }
        Reply::json(200, "{}".to_owned())
    }

    fn owners(&mut self) -> Reply {
        self.expire();
        let count = self.members.len() as u64;
        let rows: Vec<String> = (0..if count == 0 { 0 } else { PARTITIONS })
            .map(|part| {
                let member = &self.members[(part % count) as usize].0;
                format!("[\"keyed.progress\",{part},{},0]", quote(member))
            })
            .collect();
        Reply::json(200, format!("{{\"parts\":[{}]}}", rows.join(",")))
    }
}

impl Log {
    fn append(&mut self, request: &Request) -> Reply {
        let refusal = |reason: &str| Reply::json(409, format!("{{\"reason\":\"{reason}\"}}"));
        let sequence = request.query_number("sequence");
        if let Some(epoch) = request.query_number("epoch") {
            if epoch < self.epoch {
                return refusal("fenced");
            }
            if epoch > self.epoch {
                self.epoch = epoch;
                self.sequence = None;
                self.answers.clear();
            }
            if let Some(answer) = sequence.and_then(|sequence| self.answers.get(&sequence)) {
                return Reply::json(200, answer.clone());
            }
            let expected = self.sequence.map(|last| last + 1);
            if expected.is_some_and(|expected| Some(expected) != sequence) {
                return refusal("seq");
            }
        }
        let offset = self.records.len();
        let mut body = &request.body[..];
        while body.len() >= 5 {
            let length = u32::from_be_bytes(body[..4].try_into().expect("4 bytes")) as usize;
            let record = &body[4..4 + length];
            let key_length = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..=key_length]).into_owned();
            self.records.push((key, record[1 + key_length..].to_vec()));
            body = &body[4 + length..];
        }
        let answer = format!("{{\"offset\":{offset},\"end\":{}}}", self.records.len());
        if let Some(sequence) = sequence {
            self.sequence = Some(sequence);
            self.answers.insert(sequence, answer.clone());
            while self.answers.len() > 5 {
                self.answers.pop_first();
            }
        }
        Reply::json(200, answer)
    }

    fn newest(&self, request: &Request) -> Reply {
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            match value.is_empty() {
                true => newest.remove(&**key),
                false => newest.insert(key, (offset, value)),
            };
        }
        let after = request.query("after");
        let left = newest
            .into_iter()
            .filter(|(key, _)| after.as_deref().is_none_or(|a| *key > a));
        let left: Vec<_> = left.collect();
        let items: Vec<String> = left
            .iter()
            .take(500)
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}",
                    quote(key),
                    base64(value)
                )
            })
            .collect();
        let (items, more, end) = (items.join(","), left.len() > 500, self.records.len());
        Reply::json(
            200,
            format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}"),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk
            .iter()
            .fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
