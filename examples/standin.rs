//! A node to try out, with two small cache servers and a discovery service in this process.
//!
//! `cargo build && cargo run --example standin [ADDRESS [LEVEL]]`, then send it the request that it prints.
//! Ctrl-C ends it. LEVEL is the level of the node's log: at `debug` it shows each answer of discovery.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::HashSet;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

type Reply = Response<Full<Bytes>>;

/// Maximum wait of a watch, as the protocol defines it.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let listen = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:7070".to_owned());
    let level = std::env::args().nth(2).unwrap_or_else(|| "info".to_owned());
    LocalSet::new().run_until(run(&listen, &level)).await
}

async fn run(listen: &str, level: &str) -> Result<(), Box<dyn Error>> {
    let mut hosts = Vec::new();
    for name in ["s-1", "s-2"] {
        let stored = Rc::new(RefCell::new(HashSet::new()));
        let address = serve(move |request| std::future::ready(cache_server(name, &stored, &request))).await?;
        hosts.push(json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m2", "block": 0,
                          "health": "ready", "share": 1.0, "born_ms": 0}));
    }
    let list = json!({"seq": 1, "whole": true, "hosts": hosts});
    let discovery = serve(move |request| discovery(list.clone(), request)).await?;

    let directory = std::env::temp_dir().join(format!("walkpick-standin-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let file = directory.join("config.json");
    std::fs::write(&file, config(listen, level, discovery).to_string())?;
    let node = std::env::current_exe()?.with_file_name("../walkpick");
    if !node.exists() {
        return Err(format!("{} is missing: run 'cargo build' first", node.display()).into());
    }
    let mut command = Command::new(node);
    for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(name);
    }
    let mut node = command.env("LB_CONFIG", &file).kill_on_drop(true).spawn()?;
    println!("curl -i -H 'Req-Id: 1' -H 'Req-Kind: read' -H 'Req-Deadline-Ms: 500' http://{listen}/api/7f3a");
    println!("(a new Req-Id for each request; Ctrl-C ends the node)");
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        ended = node.wait() => println!("the node has exited: {}", ended?),
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
    drop(node);
    std::fs::remove_dir_all(directory)?;
    Ok(())
}

/// Serves on a free port of the loopback interface.
async fn serve<F: Future<Output = Reply> + 'static>(
    answer: impl Fn(Request<Incoming>) -> F + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (address, answer) = (listener.local_addr()?, Rc::new(answer));
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            spawn_local(async move {
                let service = service_fn(move |request| {
                    let reply = answer(request);
                    async { Ok::<_, Infallible>(reply.await) }
                });
                // A broken connection is the client's concern.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(address)
}

/// Stores every key that has been requested.
fn cache_server(name: &str, stored: &RefCell<HashSet<String>>, request: &Request<Incoming>) -> Reply {
    let key = request.uri().path().to_owned();
    let body = Full::from(format!("the value of {key}, from {name}\n"));
    let hit = !stored.borrow_mut().insert(key);
    let mut reply = Response::new(body);
    let cache_status = if hit { "hit" } else { "miss" };
    reply.headers_mut().insert("srv-cache", cache_status.parse().expect("a valid header value"));
    reply
}

/// Serves a list that never changes: a watch is answered when its wait is over.
async fn discovery(list: Value, request: Request<Incoming>) -> Reply {
    let Some(wait) = watch_wait(request.uri().query().unwrap_or_default()) else {
        return Response::new(Full::from(list.to_string()));
    };
    tokio::time::sleep(wait).await;
    let no_changes = json!({"seq": 1, "whole": false, "hosts": []});
    Response::new(Full::from(no_changes.to_string()))
}

/// How long a watch asks discovery to wait; `None` if the call is not a watch.
fn watch_wait(query: &str) -> Option<Duration> {
    let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    value("after")?;
    let wait = value("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
    Some(Duration::from_millis(wait).min(MAX_WAIT))
}

fn config(listen: &str, level: &str, discovery: SocketAddr) -> Value {
    json!({
        "name": "n1", "listen": listen, "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "walkpick": {"log": {"level": level}},
        "settings": {
            "az": "a", "zones": ["a"], "balancers": 1,
            "lanes": [
                {"name": "read", "effect": "safe", "promise_us": 500_000, "hard_limit_us": 1_000_000},
                {"name": "charge", "effect": "unsafe", "promise_us": 1_200_000, "hard_limit_us": 4_000_000},
            ],
            "limits": {"connect_timeout_us": 200_000, "keepalive_us": 15_000_000, "most_tries": 3},
        },
    })
}
