//! The platform's metadata store, as PROTOCOL.md describes it: topics, keyed topics, one group.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{Json, quoted};
use crate::record::Record;

pub const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const PARTS: u64 = 8;
const APPEND_TIME: Duration = Duration::from_millis(4);
const PAGE_KEYS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Log {
    records: Vec<Vec<u8>>,
    epoch: u64,
    sequence: Option<u64>,
    answers: Vec<(u64, String)>,
}

struct Member {
    name: String,
    expires_at: Instant,
}

#[derive(Default)]
struct State {
    logs: HashMap<(String, u64), Log>,
    members: Vec<Member>,
    generation: u64,
    topic: String,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Held for the time of one append to a partition.
    partitions: Mutex<HashMap<(String, u64), Arc<Mutex<()>>>>,
    record: Arc<Record>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> (Arc<Self>, Server) {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            partitions: Mutex::default(),
            record: record.clone(),
        });
        let handler = store.clone();
        let server = Server::start(
            "127.0.0.1:0".parse().unwrap(),
            Arc::new(move |request| handler.call(request)),
        );
        (store, server.expect("a free port"))
    }

    /// Writes a record of the operator or of an executor.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut bytes = vec![key.len() as u8];
        bytes.extend_from_slice(key.as_bytes());
        bytes.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        state
            .logs
            .entry((topic.to_owned(), 0))
            .or_default()
            .records
            .push(bytes);
        drop(state);
        self.changed.notify_all();
    }

    fn call(&self, request: Request) -> Option<Response> {
        let key = (
            request.query("topic").unwrap_or("").to_owned(),
            request.query_number("part").unwrap_or(0),
        );
        match request.path.as_str() {
            "/log-append" => self.append(key, &request),
            "/log-read" => self.read(&key, &request),
            "/log-newest" => self.newest(&key, &request),
            "/log-join" => self.join(&request),
            "/log-leave" => self.leave(&request),
            "/log-commit" => Response::json(200, "{}"),
            "/log-owners" => self.owners(),
            _ => Response::json(404, "{}"),
        }
    }

    fn append(&self, key: (String, u64), request: &Request) -> Option<Response> {
        if key.0 == "keyed.op" || key.0 == "keyed.servers" {
            return Response::json(403, "{}");
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            if rest.len() < 4 + length {
                return Response::json(400, r#"{"error":"a record is cut off"}"#);
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        if largest > RECORD_BYTES || request.body.len() > CALL_BYTES {
            self.record.note(&format!(
                "store: an append to {} {} is refused with 413: its largest record has {largest} bytes, recordBytes is {RECORD_BYTES}",
                key.0, key.1
            ));
            return Response::json(413, r#"{"error":"a record is larger than recordBytes"}"#);
        }
        let partition = self
            .partitions
            .lock()
            .unwrap()
            .entry(key.clone())
            .or_default()
            .clone();
        let _turn = partition.lock().unwrap();
        std::thread::sleep(APPEND_TIME);
        let mut state = self.state.lock().unwrap();
        let log = state.logs.entry(key).or_default();
        let sequence = request.query_number("sequence");
        if let Some(epoch) = request.query_number("epoch") {
            if epoch < log.epoch {
                return Response::json(409, r#"{"reason":"fenced"}"#);
            }
            if epoch > log.epoch {
                log.epoch = epoch;
                log.sequence = None;
                log.answers.clear();
            }
            if let Some((_, answer)) = log
                .answers
                .iter()
                .find(|(number, _)| Some(*number) == sequence)
            {
                return Response::json(200, answer);
            }
            if let Some(last) = log.sequence
                && Some(last + 1) != sequence
            {
                return Response::json(
                    409,
                    &format!(r#"{{"reason":"seq","sequence":{}}}"#, last + 1),
                );
            }
        }
        let offset = log.records.len();
        log.records.extend(records);
        let answer = format!(r#"{{"offset":{offset},"end":{}}}"#, log.records.len());
        if let Some(sequence) = sequence {
            log.sequence = Some(sequence);
            log.answers.push((sequence, answer.clone()));
            if log.answers.len() > 5 {
                log.answers.remove(0);
            }
        }
        drop(state);
        self.changed.notify_all();
        Response::json(200, &answer)
    }

    fn read(&self, key: &(String, u64), request: &Request) -> Option<Response> {
        let from = request.query_number("from").unwrap_or(0) as usize;
        let max = request.query_number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let deadline =
            Instant::now() + Duration::from_millis(request.query_number("waitMs").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let log = state.logs.entry(key.clone()).or_default();
            let now = Instant::now();
            if log.records.len() > from || now >= deadline {
                let mut body = Vec::new();
                body.extend_from_slice(&(log.records.len() as u64).to_be_bytes());
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in log.records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                    if body.len() >= max {
                        break;
                    }
                }
                return Some(Response { status: 200, body });
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }

    fn newest(&self, key: &(String, u64), request: &Request) -> Option<Response> {
        let after = request.query("after").unwrap_or("").to_owned();
        let mut state = self.state.lock().unwrap();
        let log = state.logs.entry(key.clone()).or_default();
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in log.records.iter().enumerate() {
            let Some((length, rest)) = record.split_first() else {
                continue;
            };
            let (name, value) = rest.split_at((*length as usize).min(rest.len()));
            let name = String::from_utf8_lossy(name).into_owned();
            match value.is_empty() {
                true => newest.remove(&name),
                false => newest.insert(name, (offset, value)),
            };
        }
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (name, (offset, value)) in newest {
            if !after.is_empty() && name <= after {
                continue;
            }
            if items.len() >= PAGE_KEYS || bytes >= PAGE_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(format!(
                r#"{{"key":{},"value":"{}","offset":{offset}}}"#,
                quoted(&name),
                base64(value)
            ));
        }
        let body = format!(
            r#"{{"items":[{}],"more":{more},"end":{}}}"#,
            items.join(","),
            log.records.len()
        );
        Response::json(200, &body)
    }

    fn join(&self, request: &Request) -> Option<Response> {
        let call = Json::parse(&String::from_utf8_lossy(&request.body))?;
        let name = call.get("member").text()?.to_owned();
        let ttl = Duration::from_millis(call.get("ttlMs").number()?);
        let mut state = self.state.lock().unwrap();
        state.topic = call.get("topics").list().first()?.text()?.to_owned();
        state.expire_members();
        let expires_at = Instant::now() + ttl;
        match state.members.iter_mut().find(|member| member.name == name) {
            Some(member) => member.expires_at = expires_at,
            None => {
                state.members.push(Member {
                    name: name.clone(),
                    expires_at,
                });
                state.generation += 1;
            }
        }
        let parts: Vec<String> = (0..PARTS)
            .filter(|part| state.holder(*part).is_some_and(|holder| holder == name))
            .map(|part| format!("[{},{part},0]", quoted(&state.topic)))
            .collect();
        let body = format!(
            r#"{{"generation":{},"parts":[{}]}}"#,
            state.generation,
            parts.join(",")
        );
        Response::json(200, &body)
    }

    fn leave(&self, request: &Request) -> Option<Response> {
        let call = Json::parse(&String::from_utf8_lossy(&request.body))?;
        let name = call.get("member").text()?.to_owned();
        let mut state = self.state.lock().unwrap();
        state.members.retain(|member| member.name != name);
        state.generation += 1;
        Response::json(200, "{}")
    }

    fn owners(&self) -> Option<Response> {
        let mut state = self.state.lock().unwrap();
        state.expire_members();
        let rows: Vec<String> = (0..PARTS)
            .filter_map(|part| {
                let holder = state.holder(part)?;
                Some(format!(
                    "[{},{part},{},0]",
                    quoted(&state.topic),
                    quoted(holder)
                ))
            })
            .collect();
        Response::json(200, &format!(r#"{{"parts":[{}]}}"#, rows.join(",")))
    }
}

impl State {
    fn expire_members(&mut self) {
        let before = self.members.len();
        let now = Instant::now();
        self.members.retain(|member| member.expires_at > now);
        self.generation += u64::from(self.members.len() != before);
    }

    fn holder(&self, part: u64) -> Option<&str> {
        let count = self.members.len() as u64;
        let index = (count > 0).then(|| part % count)? as usize;
        Some(&self.members[index].name)
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let block = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let number = u32::from(block[0]) << 16 | u32::from(block[1]) << 8 | u32::from(block[2]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => out.push(LETTERS[(number >> (18 - 6 * index)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
