//! A release of a balancer is rolled back while the old process still finishes a large answer: who serves after it?

mod harness;
use harness::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The large answer, and the pace at which its client reads it (DAYS: up to 32 MB, 64 kB a second).
const LARGE_BYTES: usize = 8 << 20;
const BYTES_PER_100_MS: usize = 10_000;

fn upstream_with_large_answers() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an upstream's port");
    let at = listener.local_addr().expect("an address");
    serve(listener, move |mut stream| {
        let mut reader = Reader::new(&stream);
        while let Some(request) = reader.message() {
            let id = request.header("x-request-id").to_owned();
            sleep(10);
            let done = if id.starts_with("large") {
                note(format!("s-1 runs {id}: {LARGE_BYTES} bytes"));
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BYTES}\r\n\r\n");
                stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&vec![b'x'; LARGE_BYTES]))
            } else {
                stream.write_all(answer(&id).as_bytes())
            };
            if done.is_err() {
                return;
            }
        }
    });
    at
}

/// The field of an answer in JSON, as text.
fn field(text: &str, name: &str) -> String {
    let key = format!("\"{name}\":");
    let from = text.find(&key).map(|at| &text[at + key.len()..]).unwrap_or_default();
    from.trim_start_matches('"').split([',', '"', '}']).next().unwrap_or_default().to_owned()
}

fn step(control: SocketAddr) -> String {
    get(control, "/admin/release").map(|a| field(&a.text(), "step")).unwrap_or_default()
}

fn main() {
    let mut run = Run::begin();
    let members = vec![member("s-1", upstream_with_large_answers(), "taipei", "SERVING")];
    let agent = Agent::start("discovery", Held { revision: 41, members: members.clone() }, 0);
    let (proxy, old, new, control) = (free(), free(), free(), free());
    let text = |management: SocketAddr| {
        let management = format!("\"management\":\"{management}\",");
        config(proxy, &agent.address.to_string(), &management, &list(41, true, &members), "automatic", TRADE_COUNTER)
    };
    let (old_file, new_file) = (run.file("old.json", &text(old)), run.file("new.json", &text(new)));
    let program = run.program();
    let version = |config: &std::path::Path, at: SocketAddr| {
        format!("{{ program = \"{}\", config = \"{}\", management = \"{at}\" }}", program.display(), config.display())
    };
    let plan = format!(
        "name = \"lb-2\"\nmanagement = \"{control}\"\nstate_dir = \"{}\"\nstages = [100]\nbake_ms = 10000\n\
         [[balancers]]\nname = \"n0\"\nold = {}\nnew = {}\n",
        run.folder.join("release").display(),
        version(&old_file, old),
        version(&new_file, new),
    );
    let plan = run.file("plan.toml", &plan).display().to_string();
    run.proxy("old-n0", &old_file);
    ready(&mut run, proxy);
    // Clients ask all the time, each request on a connection of its own.
    let answers: Arc<Mutex<Vec<(f64, u16)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..2)
        .map(|client| {
            let (answers, stop) = (answers.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{client:08x}{n:08x}");
                    n += 1;
                    let answer = call(proxy, "GET", "/api", &headers(&id, "stock-check", 1000), "", 3000);
                    note(match &answer {
                        Ok(a) => format!("client: {id} is answered {}", a.status()),
                        Err(why) => format!("client: {id}: {why}"),
                    });
                    answers.lock().unwrap().push((now(), answer.map_or(0, |a| a.status())));
                    sleep(100);
                }
            })
        })
        .collect();
    run.start("release", &format!("release start --config {plan}"), &[]);
    sleep(2_000);
    if run.trouble {
        std::thread::spawn(move || {
            let Ok(mut stream) = connect(proxy) else { return };
            let text = format!("GET /api HTTP/1.1\r\nHost: api.internal\r\n{}\r\n", headers("large0000000001", "stock-check", 2000));
            let (mut read, mut piece) = (0, vec![0; BYTES_PER_100_MS]);
            let _ = stream.write_all(text.as_bytes());
            while let Ok(n @ 1..) = stream.read(&mut piece) {
                read += n;
                sleep(100);
            }
            note(format!("client: the large answer has ended after {read} bytes"));
        });
    }
    if !until(60_000, || step(control) == "baking") {
        run.give_up("the release does not reach its bake time");
    }
    note("the release bakes");
    sleep(2_000);
    let say = |at: SocketAddr| match get(at, "/admin/health") {
        Ok(a) => format!("{} {}", a.status(), a.text()),
        Err(why) => why,
    };
    note(format!("old: {}", say(old)));
    note(format!("new: {}", say(new)));
    for at in [old, new] {
        let pid = get(at, "/admin/health").map(|a| field(&a.text(), "pid")).unwrap_or_default();
        if let Ok(pid) = pid.parse() {
            run.end_with_run(pid);
        }
    }
    run.start("rollback", &format!("release rollback --config {plan}"), &[]);
    let Some(code) = run.wait("release", ms(30_000)) else { run.give_up("the release does not end") };
    let ended = now();
    note(format!("the release has ended with {code} (3: rolled back)"));
    sleep(6_000);
    note(format!("old: {}", say(old)));
    note(format!("new: {}", say(new)));
    let pid = get(old, "/admin/health").map(|a| field(&a.text(), "pid")).unwrap_or_default();
    if let Ok(pid) = pid.parse() {
        run.end_with_run(pid);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    run.note_log("release", &["release", "process", "step", "WARN"]);
    run.note_log("old-n0", &["phase"]);
    let answers = answers.lock().unwrap().clone();
    let before = answers.iter().filter(|(at, status)| *at < ended - 5.0 && *status == 200).count();
    let after: Vec<u16> = answers.iter().filter(|(at, _)| *at > ended + 1.0).map(|(_, status)| *status).collect();
    let unheard = after.iter().filter(|status| **status == 0).count();
    if code != 3 || before < 50 || after.len() < 20 {
        run.give_up(&format!("code {code}, {before} requests served before, {} asked after", after.len()));
    }
    run.finish(
        unheard == after.len(),
        &format!("after the rollback {unheard} of {} requests found no process that listens", after.len()),
    );
}
