//! Calls over idle connections that the peer closes.
//!
//! Guards against a call that is said not to have run although the peer has read some of it.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_borders::http::HttpCall;
use dotterelhook_borders::http::HttpClient;
use dotterelhook_types::Verdict;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::yield_now;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const ROUNDS: usize = 400;
const TIMEOUT: Duration = Duration::from_secs(5);

/// How a peer ends a connection after its first answer.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Reads the next call and closes without an answer.
    AfterCall,
    /// Closes its side after some turns of the runtime, and reads what arrives nevertheless.
    AfterTurns(usize),
}

async fn read_head(stream: &mut TcpStream) -> usize {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => received.push(byte),
            Err(_) => break,
        }
    }
    received.len()
}

/// Starts a peer of one connection that returns the number of bytes received after its answer.
async fn start_peer(end: End) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(ANSWER).await.unwrap();
        match end {
            End::AfterCall => read_head(&mut stream).await,
            End::AfterTurns(turns) => {
                for _ in 0..turns {
                    yield_now().await;
                }
                stream.shutdown().await.unwrap();
                let mut rest = Vec::new();
                // A client that has seen the end may reset the connection.
                let _ = stream.read_to_end(&mut rest).await;
                rest.len()
            }
        }
    });
    (address, peer)
}

/// Returns the verdict on a call over an idle connection, and the bytes of it that the peer received.
async fn call_over_idle(end: End, turns: usize) -> (Verdict, usize) {
    let (address, peer) = start_peer(end).await;
    let client = HttpClient::new(address);
    client.call(HttpCall::get("/first", TIMEOUT)).await.unwrap();
    for _ in 0..turns {
        yield_now().await;
    }
    let second = client
        .call_over_idle(HttpCall::get("/second", TIMEOUT))
        .await;
    let verdict = second.expect_err("a closed connection").verdict;
    drop(client);
    (verdict, peer.await.unwrap())
}

#[tokio::test]
async fn a_call_that_the_peer_has_read_may_have_run() {
    let (verdict, received) = call_over_idle(End::AfterCall, 0).await;

    assert!(received > 0);
    assert_eq!(verdict, Verdict::MayHaveRun);
}

#[tokio::test]
async fn a_call_that_meets_the_close_of_its_connection_is_not_run_only_if_nothing_was_sent() {
    let mut not_run = 0;
    for round in 0..ROUNDS {
        let (verdict, received) = call_over_idle(End::AfterTurns(round % 7), round % 11).await;

        let is_not_run = verdict == Verdict::NotRun;
        assert!(
            !is_not_run || received == 0,
            "{received} bytes in round {round}"
        );
        not_run += usize::from(is_not_run);
    }

    assert!(not_run > 0, "no call met a closed connection");
}
