// The cases; included by `standins.rs`.

fn run_case(case: &str, record: &Record, has_trouble: bool) -> Result<Verdict, AnyError> {
    match case {
        "late-refusal" => late_refusal(record, has_trouble),
        "slow-readers" => slow_readers(record, has_trouble),
        "crashed-runners" => crashed_runners(record, has_trouble),
        _ => Err("no such case".into()),
    }
}

/// Random numbers that are the same in each run.
struct Draws(u64);

impl Draws {
    fn share(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }
}

/// The most of a faulty runner's answers to which a second one follows, late: the largest share for
/// which a site file has `garble` with `extra late`.
const MAX_EXTRA_SHARE: f64 = 0.03;
/// How long the disruption lasts each time, and how often it comes.
const FAULTY_TIME: Duration = Duration::from_secs(5);
const FAULTY_INTERVAL: Duration = Duration::from_secs(6);
/// The share of requests that find a runner full.
const FULL_SHARE: f64 = 0.15;
/// The models; each runner holds two of them, and no other one fits beside.
const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];

/// The service of the model runners, as `PROTOCOL.md` and the sheet describe it.
fn engine_service() -> String {
    let models = MODELS.map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"weights_mb\":72700,\"load_time_s\":4.2,\"warm_s\":0.63,\"disk_s\":0.84,\
             \"adapters\":0,\"adapter_mb\":66}}"
        )
    });
    format!(
        "{{\"name\":\"klauzule\",\"health_path\":\"/health\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_capacity\":158674,\"weights_mb\":200000,\"adapter_slots\":8,\"loads_per_s\":1.6,\
         \"models\":[{}]}}}}",
        models.join(",")
    )
}

/// Model runners that are full now and then; each model lies on one of them. With the disruption one
/// runner sends a second copy of some of its answers, late: where the next answer is expected on the
/// channel. The route's streams may not be resumed, so that each request may run once at most.
fn late_refusal(record: &Record, has_trouble: bool) -> Result<Verdict, AnyError> {
    let site = Site::start(record)?;
    // How often each attempt has run.
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let extras = Arc::new(AtomicU64::new(0));
    let answers = Arc::new(AtomicU64::new(0));
    for index in 0..3 {
        let id = format!("i-{index}");
        let held = &MODELS[2 * index..2 * index + 2];
        let held = held.iter().map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"));
        let held = held.collect::<Vec<_>>().join(",");
        let report = format!(
            "{{\"stage\":\"colocated\",\"models\":[{held}],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\
             \"kv_used\":0,\"kv_total\":158674,\"handles\":0}}"
        );
        let (named, log, runs) = (id.clone(), record.clone(), runs.clone());
        let (extras, answers) = (extras.clone(), answers.clone());
        let is_faulty = has_trouble && index == 0;
        let draws = Arc::new(Mutex::new(Draws(7 + index as u64)));
        let runner = serve("127.0.0.1:0".parse()?, move |mut connection| {
            let mut late: Option<(String, Vec<u8>)> = None;
            while let Ok(Some(request)) = connection.read_message() {
                match request.path() {
                    "/-/report" => {
                        let _ = connection.respond("200 OK", &[("Content-Type", "application/json")], report.as_bytes());
                        continue;
                    }
                    "/-/order" => {
                        log.line(format!("{named}: order {}", String::from_utf8_lossy(&request.body)));
                        let _ = connection.respond("409 Conflict", &[], b"");
                        continue;
                    }
                    _ => {}
                }
                let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
                if let Some((earlier, answer)) = late.take() {
                    log.line(format!("{named}: the second answer to {earlier} goes out late, before that to {attempt}"));
                    let _ = connection.stream.write_all(&answer);
                }
                let is_full = draws.lock().unwrap().share() < FULL_SHARE;
                let answer = match is_full {
                    true => {
                        log.line(format!("{named}: {attempt} refused with 503 and X-Not-Executed"));
                        format!(
                            "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n\
                             Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
                        )
                    }
                    false => {
                        log.line(format!("{named}: {attempt} runs"));
                        *runs.lock().unwrap().entry(attempt.clone()).or_default() += 1;
                        thread::sleep(Duration::from_millis(10));
                        let mut answer = format!(
                            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: sig-{attempt}\r\n\
                             X-Weight-Versions: 1\r\nKeep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\n\
                             Transfer-Encoding: chunked\r\n\r\n"
                        );
                        for number in 1..=4 {
                            let event = format!("id: {number}\ndata: {attempt}\n\n");
                            answer.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
                        }
                        answer.push_str("0\r\n\r\n");
                        answer
                    }
                };
                if connection.stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                let since_start = log.began.elapsed().as_millis();
                if is_faulty && since_start % FAULTY_INTERVAL.as_millis() < FAULTY_TIME.as_millis() {
                    let answered = answers.fetch_add(1, Ordering::SeqCst) + 1;
                    let most = answered as f64 * MAX_EXTRA_SHARE;
                    let is_drawn = draws.lock().unwrap().share() < MAX_EXTRA_SHARE;
                    if is_drawn && ((extras.load(Ordering::SeqCst) + 1) as f64) <= most {
                        extras.fetch_add(1, Ordering::SeqCst);
                        late = Some((attempt, answer.into_bytes()));
                    }
                }
            }
        })?;
        keep_listed(&site.store, &id, "klauzule", runner, 64, &format!(",\"stage\":\"colocated\",\"models\":[{held}]"));
    }
    let mut drafts = route("/draft/", "streaming", "klauzule", 20_000, 1);
    drafts.pop();
    drafts.push_str(",\"resumable\":false,\"sticky\":true,\"gap_aim_ms\":150}");
    configure(&site.store, 1, &[drafts], &[engine_service()]);
    let vm = site.start_vm("front-karlin-1")?;
    site.wait_ready(&vm)?;
    // In touch from here on: nothing was started within the last `stable_window_ms`.
    thread::sleep(Duration::from_millis(3_500));

    let statuses: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(40);
    let requesters = (0..6).map(|number: usize| {
        let (front, statuses, log) = (vm.front, statuses.clone(), record.clone());
        thread::spawn(move || {
            let mut channel = None;
            while Instant::now() < until {
                if channel.is_none() {
                    channel = Connection::open(front).ok();
                }
                let Some(open) = channel.as_mut() else {
                    continue;
                };
                let attempt = new_id();
                let headers = format!(
                    "X-Model: {}\r\nX-Token-Usage: 60,24\r\nX-Prompt-Prefix: 5c1e07a2:40,{attempt}:20\r\n",
                    MODELS[number]
                );
                let answer = exchange_with(open, &attempt, "POST", "/draft/1", 20_000, &headers, b"licence terms");
                let status = answer.ok().flatten().map_or(0, |it| it.status());
                if status == 0 {
                    channel = None;
                }
                log.line(format!("requester: {attempt} answered {status}"));
                statuses.lock().unwrap().insert(attempt, status);
                thread::sleep(Duration::from_millis(12));
            }
        })
    });
    for requester in requesters.collect::<Vec<_>>() {
        let _ = requester.join();
    }
    thread::sleep(Duration::from_millis(300));
    let (runs, statuses) = (runs.lock().unwrap(), statuses.lock().unwrap());
    let (mut twice, mut refused) = (0, 0);
    for (attempt, status) in statuses.iter() {
        let ran = runs.get(attempt).copied().unwrap_or(0);
        if ran > 1 {
            record.line(format!("TWICE: {attempt} is not idempotent and has run {ran} times"));
            twice += 1;
        }
        if *status == 503 && ran > 0 {
            record.line(format!("REFUSED: {attempt} was answered 503 and has run"));
            refused += 1;
        }
    }
    record.line(format!(
        "{} requests; {} of {} answers of the faulty runner had a second one; {twice} requests ran twice, {refused} were answered 503 and had run",
        statuses.len(), extras.load(Ordering::SeqCst), answers.load(Ordering::SeqCst)
    ));
    Ok(if twice + refused > 0 { Verdict::Broken } else { Verdict::Held })
}

/// The number of requesters that send a long request; each sends one.
const LONG_REQUESTS: usize = 90;
/// Within the `max_body_bytes` of 4,194,304.
const LONG_BODY_BYTES: usize = 4_000_000;
/// How fast a runner that reads slowly reads one request.
const SLOW_BYTES_PER_S: usize = 200_000;
/// The requesters with a kept channel to the sound service.
const KEPT_CHANNELS: usize = 8;

fn resident_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kb: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kb * 1_024.0 / 1e6)
}

/// Requesters send long requests to a service whose three runners, with the disruption, read slowly.
/// Beside it a sound runner serves short requests on kept channels. The process is killed when it takes
/// more than the memory of its machine, as the platform does.
fn slow_readers(record: &Record, has_trouble: bool) -> Result<Verdict, AnyError> {
    let site = Site::start(record)?;
    for index in 0..3 {
        let id = format!("i-long-{index}");
        let named = id.clone();
        let is_slow = has_trouble;
        let log = record.clone();
        let open = Arc::new(AtomicU64::new(0));
        let runner = serve("127.0.0.1:0".parse()?, move |mut connection| {
            while let Ok(Some(mut request)) = connection.read_head() {
                let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
                // 6 slots and a queue of 24.
                let is_full = open.fetch_add(1, Ordering::SeqCst) >= 30;
                let length: usize = request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
                let mut received = connection.ahead.len().min(length);
                connection.ahead.drain(..received);
                let mut buffer = vec![0; 64 * 1024];
                let mut is_cut = false;
                while received < length {
                    if is_slow {
                        thread::sleep(Duration::from_secs_f64(20_000.0 / SLOW_BYTES_PER_S as f64));
                    }
                    let piece = if is_slow { 20_000 } else { buffer.len() };
                    match connection.stream.read(&mut buffer[..piece.min(length - received)]) {
                        Ok(count @ 1..) => received += count,
                        _ => {
                            is_cut = true;
                            break;
                        }
                    }
                }
                open.fetch_sub(1, Ordering::SeqCst);
                if is_cut {
                    log.line(format!("{named}: {attempt} cut off after {received} bytes"));
                    return;
                }
                request.body.clear();
                let signature = format!("sig-{attempt}");
                let (status, last) = match is_full {
                    true => ("503 Service Unavailable", ("X-Not-Executed", "1")),
                    false => ("200 OK", ("X-Server-Signature", signature.as_str())),
                };
                log.line(format!("{named}: {attempt} read, {received} bytes, {status}"));
                let headers = [("X-Attempt-Id", attempt.as_str()), last, ("Keep-Alive", "timeout=5")];
                if connection.respond(status, &headers, attempt.as_bytes()).is_err() {
                    return;
                }
            }
        })?;
        keep_listed(&site.store, &id, "klauzule", runner, 6, "");
    }
    let sound = serve("127.0.0.1:0".parse()?, move |mut connection| {
        while let Ok(Some(request)) = connection.read_message() {
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
            thread::sleep(Duration::from_millis(220));
            let signature = format!("sig-{attempt}");
            let headers = [("X-Attempt-Id", attempt.as_str()), ("X-Server-Signature", signature.as_str()), ("Keep-Alive", "timeout=5")];
            if connection.respond("200 OK", &headers, attempt.as_bytes()).is_err() {
                return;
            }
        }
    })?;
    keep_listed(&site.store, "i-sound", "rejstrik", sound, 6, "");
    let routes = [
        route("/draft/", "unsafe", "klauzule", 12_000, 1),
        route("/lookup/", "safe", "rejstrik", 5_000, 2),
    ];
    configure(&site.store, 1, &routes, &[plain_service("klauzule"), plain_service("rejstrik")]);
    let mut vm = site.start_vm("front-karlin-1")?;
    site.wait_ready(&vm)?;
    // In touch from here on: nothing was started within the last `stable_window_ms`.
    thread::sleep(Duration::from_millis(3_500));

    let pid = vm.child.id();
    let is_over = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(AtomicU64::new(0));
    let mut requesters = Vec::new();
    for number in 0..KEPT_CHANNELS {
        let (front, log, over, cut) = (vm.front, record.clone(), is_over.clone(), cut.clone());
        requesters.push(thread::spawn(move || {
            let mut channel = None;
            let mut answered = 0;
            while !over.load(Ordering::SeqCst) {
                if channel.is_none() {
                    channel = Connection::open(front).ok();
                    answered = 0;
                }
                let Some(open) = channel.as_mut() else {
                    thread::sleep(Duration::from_millis(20));
                    continue;
                };
                let attempt = new_id();
                match exchange(open, &attempt, "GET", "/lookup/7", 5_000, b"") {
                    Ok(Some(answer)) => {
                        answered += 1;
                        if answer.status() != 200 {
                            log.line(format!("lookup {number}: {attempt} answered {}", answer.status()));
                        }
                    }
                    _ => {
                        if answered > 0 {
                            cut.fetch_add(1, Ordering::SeqCst);
                        }
                        log.line(format!("lookup {number}: {attempt} cut on a channel with {answered} answers before"));
                        channel = None;
                        thread::sleep(Duration::from_millis(500));
                    }
                }
            }
        }));
    }
    let mut senders = Vec::new();
    for number in 0..LONG_REQUESTS {
        let (front, log) = (vm.front, record.clone());
        senders.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(1_000 + 60 * number as u64));
            let attempt = new_id();
            let body = vec![b'x'; LONG_BODY_BYTES];
            let status = Connection::open(front)
                .and_then(|mut channel| exchange(&mut channel, &attempt, "POST", "/draft/1", 12_000, &body))
                .map(|answer| answer.map_or(0, |it| it.status()));
            log.line(format!("long request {number}: {attempt} ended with {status:?}"));
        }));
    }
    let began = Instant::now();
    let mut peak_mb: f64 = 0.0;
    let mut logged_at = Instant::now();
    let mut is_killed = false;
    while began.elapsed() < Duration::from_secs(20) {
        let Some(resident) = resident_mb(pid) else {
            break;
        };
        peak_mb = peak_mb.max(resident);
        if logged_at.elapsed() > Duration::from_millis(500) {
            logged_at = Instant::now();
            record.line(format!("memory of the process: {resident:.0} MB"));
        }
        if resident > MEMORY_MB as f64 {
            record.line(format!("the process takes {resident:.0} MB, over its {MEMORY_MB}: the platform kills it"));
            let _ = vm.child.kill();
            is_killed = true;
            thread::sleep(Duration::from_millis(700));
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ = requester.join();
    }
    for sender in senders {
        let _ = sender.join();
    }
    let cut = cut.load(Ordering::SeqCst);
    record.line(format!("peak memory {peak_mb:.0} MB of {MEMORY_MB}, killed: {is_killed}"));
    record.line(format!("LOST: {cut} requests from kept channels, sent on to the sound runner, were cut without an answer; more than three break the rule"));
    Ok(if cut > 3 { Verdict::Broken } else { Verdict::Held })
}

/// A runner of a plain service that can crash and start again at the same address.
struct PlainRunner {
    address: SocketAddr,
    is_up: Arc<AtomicBool>,
    /// The connections that a crash breaks.
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl PlainRunner {
    fn start(named: String, record: &Record) -> Result<Self, AnyError> {
        let first = TcpListener::bind("127.0.0.1:0")?;
        let runner = Self {
            address: first.local_addr()?,
            is_up: Arc::new(AtomicBool::new(true)),
            open: Arc::default(),
        };
        let (is_up, open, address, log) = (runner.is_up.clone(), runner.open.clone(), runner.address, record.clone());
        thread::spawn(move || {
            let mut listener = Some(first);
            loop {
                if !is_up.load(Ordering::SeqCst) {
                    // A runner that is down refuses connections.
                    listener = None;
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                let listening = match listener.take().map_or_else(|| TcpListener::bind(address), Ok) {
                    Ok(listening) => listening,
                    Err(_) => {
                        thread::sleep(Duration::from_millis(5));
                        continue;
                    }
                };
                let _ = listening.set_nonblocking(true);
                match listening.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        open.lock().unwrap().extend(stream.try_clone());
                        let (named, log) = (named.clone(), log.clone());
                        thread::spawn(move || Self::answer(Connection::new(stream), &named, &log));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
                listener = Some(listening);
            }
        });
        Ok(runner)
    }

    fn answer(mut connection: Connection, named: &str, log: &Record) {
        while let Ok(Some(request)) = connection.read_message() {
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
            log.line(format!("{named}: {attempt} {} runs", request.path()));
            let is_receipt = request.path().starts_with("/receipt/");
            thread::sleep(if is_receipt { RECEIPT_TIME } else { Duration::from_millis(30) });
            let signature = format!("sig-{attempt}");
            let headers = [
                ("X-Attempt-Id", attempt.as_str()),
                ("X-Server-Signature", signature.as_str()),
                ("Keep-Alive", "timeout=5"),
            ];
            if connection.respond("200 OK", &headers, attempt.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// The runners of the service, and how many of them crash: a share of 0.25.
const RUNNERS: usize = 9;
const CRASHED: usize = 2;
/// How long a receipt takes at a runner.
const RECEIPT_TIME: Duration = Duration::from_millis(2_000);

/// Two kinds of request to one plain service: receipts, which may not be repeated and are all alike, and
/// lookups, of which each has a path of its own. With the disruption two of nine runners crash at the
/// same moment and are back after two seconds.
fn crashed_runners(record: &Record, has_trouble: bool) -> Result<Verdict, AnyError> {
    let site = Site::start(record)?;
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        runners.push(PlainRunner::start(format!("runner {index}"), record)?);
    }
    let put = |index: usize, boot: u32, is_listed: bool, sequence: u64| {
        let value = match is_listed {
            true => entry("rejstrik", runners[index].address, "ready", 6, sequence, ""),
            false => String::new(),
        };
        site.store.put("keyed.servers", &format!("i-{index}-{boot}"), &value);
    };
    for index in 0..RUNNERS {
        put(index, 0, true, 1);
    }
    let routes = [route("/lookup/", "safe", "rejstrik", 800, 2), route("/receipt/", "unsafe", "rejstrik", 4_000, 1)];
    configure(&site.store, 1, &routes, &[plain_service("rejstrik")]);
    let vm = site.start_vm("front-karlin-1")?;
    site.wait_ready(&vm)?;
    thread::sleep(Duration::from_millis(3_500));

    // By kind: sent, served, and the same of requests that are sent 10 s after the runners are back.
    let counts: Arc<Mutex<[[u64; 4]; 2]>> = Arc::default();
    let began = Instant::now();
    let until = began + Duration::from_secs(75);
    let late_from = began + Duration::from_secs(17);
    let requesters = (0..48_usize).map(|number| {
        let (front, counts, log) = (vm.front, counts.clone(), record.clone());
        thread::spawn(move || {
            let is_lookup = number < 8;
            let mut draws = Draws(1_000 + number as u64);
            let mut channel = None;
            let mut sent = 0;
            while Instant::now() < until {
                sent += 1;
                let sent_at = Instant::now();
                let mut status = 0;
                // One more try after a refusal, as the sheet says.
                for _ in 0..2 {
                    if channel.is_none() {
                        channel = Connection::open(front).ok();
                    }
                    let Some(open) = channel.as_mut() else {
                        break;
                    };
                    let id = new_id();
                    let answer = match is_lookup {
                        true => exchange(open, &id, "GET", &format!("/lookup/{number}-{sent}"), 1_500, b""),
                        false => exchange(open, &id, "POST", "/receipt/cafe-day", 4_000, b"licence=cafe&days=1"),
                    };
                    let answer = answer.ok().flatten();
                    status = answer.as_ref().map_or(0, Message::status);
                    if status != 200 {
                        let after = answer.as_ref().and_then(|it| it.header("retry-after")).unwrap_or("none");
                        log.line(format!("requester {number}: {id} answered {status}, Retry-After {after}"));
                    }
                    if status == 0 {
                        channel = None;
                    }
                    if status != 503 {
                        break;
                    }
                    thread::sleep(Duration::from_millis(if is_lookup { 400 } else { 1_200 }));
                }
                let mut counts = counts.lock().unwrap();
                let kind = &mut counts[usize::from(!is_lookup)];
                let is_served = u64::from(status == 200);
                kind[0] += 1;
                kind[1] += is_served;
                if sent_at >= late_from {
                    kind[2] += 1;
                    kind[3] += is_served;
                }
                drop(counts);
                thread::sleep(Duration::from_secs_f64(0.1 + 0.3 * draws.share()));
            }
        })
    });
    let requesters: Vec<_> = requesters.collect();
    let (mut sequence, mut boot) = (1, 0);
    let (mut has_crashed, mut is_back) = (false, false);
    let mut written_at = Instant::now();
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
        let elapsed = began.elapsed();
        if has_trouble && !has_crashed && elapsed >= Duration::from_secs(5) {
            has_crashed = true;
            record.line("runners 0 and 1 crash");
            runners[..CRASHED].iter().for_each(PlainRunner::crash);
        }
        if has_crashed && !is_back && elapsed >= Duration::from_secs(7) {
            is_back = true;
            record.line("runners 0 and 1 are back, each with a new id");
            boot = 1;
            for index in 0..CRASHED {
                put(index, 0, false, 0);
                runners[index].is_up.store(true, Ordering::SeqCst);
                put(index, boot, true, 1);
            }
        }
        if written_at.elapsed() >= Duration::from_millis(1_200) {
            written_at = Instant::now();
            sequence += 1;
            for index in 0..RUNNERS {
                let has_own = index < CRASHED;
                if !has_own || !has_crashed || is_back {
                    put(index, if has_own { boot } else { 0 }, true, sequence);
                }
            }
        }
    }
    for requester in requesters {
        let _ = requester.join();
    }
    let [lookups, receipts] = *counts.lock().unwrap();
    let share = |served: u64, sent: u64| served as f64 / sent.max(1) as f64;
    let of_receipts = share(receipts[1], receipts[0]);
    let of_all = share(lookups[1] + receipts[1], lookups[0] + receipts[0]);
    record.line(format!("lookups: {} of {} served; receipts: {} of {} served", lookups[1], lookups[0], receipts[1], receipts[0]));
    record.line(format!(
        "sent 10 s after the runners were back or later: lookups {} of {} served, receipts {} of {}",
        lookups[3], lookups[2], receipts[3], receipts[2]
    ));
    record.line(format!("STARVED: share of the receipts {of_receipts:.3}, of all requests {of_all:.3}; less than a quarter breaks the rule"));
    Ok(if of_receipts < of_all / 4.0 { Verdict::Broken } else { Verdict::Held })
}
