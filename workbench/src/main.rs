//! The `workbench` program: stand-ins, load and experiments.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use workbench::account::{Account, Limits};
use workbench::calls::{self, CallLoad};
use workbench::capacity::{self, Size};
use workbench::demo;
use workbench::engine::{Engine, EngineShape};
use workbench::experiment::{self, Scenario};
use workbench::overhead;
use workbench::platform::{Platform, PlatformState};
use workbench::report::{self, PolicyReport};
use workbench::service::PlainStandIn;
use workbench::site;
use workbench::soak;

fn command() -> Command {
    Command::new("workbench")
        .about("Stand-ins, load and experiments for rattanjunction")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("demo").about("Run a whole site and print a table"))
        .subcommand(
            Command::new("experiment")
                .about("Measure policies under an agency's load")
                .arg(
                    Arg::new("scenario")
                        .required(true)
                        .value_parser(["vltava", "kaof"]),
                )
                .arg(
                    Arg::new("policy")
                        .long("policy")
                        .action(ArgAction::Append)
                        .default_value("all")
                        .help("A policy's name, or all; may be given more than once"),
                )
                .arg(number("seconds", "40"))
                .arg(
                    Arg::new("seed")
                        .long("seed")
                        .value_parser(value_parser!(u64))
                        .help("The seed of the load; drawn and printed if left out"),
                )
                .arg(decimal("load", "1").help("The factor of all rates"))
                .arg(
                    Arg::new("check")
                        .long("check")
                        .action(ArgAction::SetTrue)
                        .help("Fail if the shipped policy falls behind the baselines of this run"),
                )
                .arg(
                    Arg::new("out")
                        .long("out")
                        .default_value(".")
                        .value_parser(value_parser!(PathBuf))
                        .help("The folder for the JSON report and the plot"),
                ),
        )
        .subcommand(
            Command::new("account")
                .about("Tell from VMs' logs where requests went, a row for each span of time")
                .arg(
                    Arg::new("log")
                        .value_name("LOGFILE")
                        .required(true)
                        .action(ArgAction::Append)
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(number("first-ms", "250").help("A later first event counts as late"))
                .arg(number("pause-ms", "150").help("A longer pause counts as late"))
                .arg(number("span-s", "2").value_parser(value_parser!(u64).range(1..=3_600))),
        )
        .subcommand(
            Command::new("overhead")
                .about("Measure what one VM adds against asking engines directly")
                .arg(
                    Arg::new("streams")
                        .long("streams")
                        .default_value("100,1000")
                        .value_delimiter(',')
                        .value_parser(value_parser!(u64).range(4..=4_000)),
                )
                .arg(decimal("step-ms", "20")),
        )
        .subcommand(
            Command::new("start")
                .about("Start all VMs of a site at once and report when each step is reached")
                .arg(
                    Arg::new("vms")
                        .long("vms")
                        .default_value("6,58")
                        .value_delimiter(',')
                        .value_parser(value_parser!(u64).range(1..=400)),
                )
                .arg(number("runs", "3"))
                .arg(number("servers", "100").help("The servers in the directory"))
                .arg(
                    Arg::new("again")
                        .long("again")
                        .action(ArgAction::SetTrue)
                        .help("Kill all VMs at once before and start them again"),
                ),
        )
        .subcommand(
            Command::new("platform")
                .about("Stand in for the log, the VM list and the weight store")
                .arg(address())
                .arg(Arg::new("state").long("state").default_value("{}")),
        )
        .subcommand(
            Command::new("soak")
                .about(
                    "Draw two faults at once from a seed, again and again, and check every promise",
                )
                .arg(number("seed", "1"))
                .arg(number("seconds", "30")),
        )
        .subcommand(
            Command::new("site-soak")
                .about(
                    "Draw limits, pauses and departures of servers and faults of VMs from a seed, \
                     and check that what servers state is respected",
                )
                .arg(number("seed", "1"))
                .arg(number("vms", "4"))
                .arg(number("seconds", "30")),
        )
        .subcommand(
            Command::new("cut-soak")
                .about(
                    "Draw cuts of VMs from all servers and faults of VMs and the store from a seed, \
                     and check that callers are served and orders run at most once",
                )
                .arg(number("seed", "1"))
                .arg(number("vms", "6"))
                .arg(number("seconds", "25")),
        )
        .subcommand(
            Command::new("delivery-soak")
                .about(
                    "Draw faulty answers of servers and faults of VMs from a seed, and check that \
                     requests run at most once, that none runs of which this was denied, and that \
                     streams come whole",
                )
                .arg(number("seed", "1"))
                .arg(number("vms", "6"))
                .arg(number("seconds", "25")),
        )
        .subcommand(
            Command::new("version-soak")
                .about(
                    "Draw software versions that come and leave and faults of VMs from a seed, and \
                     check that each stream holds events of one version",
                )
                .arg(number("seed", "1"))
                .arg(number("vms", "5"))
                .arg(number("seconds", "25")),
        )
        .subcommand(
            Command::new("config-soak")
                .about(
                    "Draw changes of the configuration and faults of VMs and of their paths to the \
                     store from a seed, and check that each answer agrees with a version that may \
                     be in force",
                )
                .arg(number("seed", "1"))
                .arg(number("vms", "6"))
                .arg(number("seconds", "25")),
        )
        .subcommand(
            Command::new("crash-soak")
                .about(
                    "Draw parts of prompts that crash model runners and faults of VMs, the store \
                     and other runners from a seed, and check that the parts are contained and \
                     sound requests served",
                )
                .arg(number("seed", "1"))
                .arg(number("vms", "4"))
                .arg(number("seconds", "20")),
        )
        .subcommand(
            Command::new("silence-soak")
                .about(
                    "Draw silences of sound servers, changes of the configuration, SIGHUP and \
                     SIGTERM from a seed, and check that each request that a server runs is \
                     answered whole",
                )
                .arg(number("seed", "1"))
                .arg(number("seeds", "1").help("How many seeds are played, from this one on"))
                .arg(number("vms", "4"))
                .arg(number("seconds", "20")),
        )
        .subcommand(
            Command::new("crowd-soak")
                .about(
                    "Draw crowds of misbehaving clients, restarts, kills, signals and changes from a \
                     seed, and check the limits of each VM and what ordinary callers see",
                )
                .arg(number("seed", "1"))
                .arg(number("seeds", "1").help("How many seeds are played, from this one on"))
                .arg(number("vms", "3"))
                .arg(number("seconds", "20")),
        )
        .subcommand(
            Command::new("histories")
                .about(
                    "Draw histories of changes, signals and silences from a seed, check how each \
                     request ends, and shrink histories that fail",
                )
                .arg(number("seed", "1"))
                .arg(number("seeds", "1").help("How many seeds are played, from this one on"))
                .arg(number("shrinks", "30").help("How many smaller histories are tried")),
        )
        .subcommand(
            Command::new("calls")
                .about("Measure what non-idempotent calls cost")
                .arg(number("vms", "3"))
                .arg(number("rate", "100"))
                .arg(number("seconds", "10")),
        )
        .subcommand(
            Command::new("capacity")
                .about("Measure what control costs each VM at a size, without requests")
                .arg(number("vms", "3"))
                .arg(number("runners", "12"))
                .arg(number("models", "13"))
                .arg(number("seconds", "10")),
        )
        .subcommand(
            engine_arguments(Command::new("engine"))
                .about("Stand in for a model engine")
                .arg(
                    Arg::new("hold")
                        .long("hold")
                        .action(ArgAction::Append)
                        .value_name("ARTIFACT:MIB")
                        .help("Hold an artifact from the start; may be given more than once"),
                )
                .arg(journal()),
        )
        .subcommand(
            engine_arguments(Command::new("engines"))
                .about("Stand in for several model engines, at this port and those after it")
                .arg(number("count", "10")),
        )
        .subcommand(
            Command::new("service")
                .about("Stand in for a plain service")
                .arg(address())
                .arg(Arg::new("name").long("name").default_value("service"))
                .arg(number("delay-ms", "5"))
                .arg(journal()),
        )
}

fn engine_arguments(command: Command) -> Command {
    command
        .arg(address())
        .arg(number("memory-mib", "64000"))
        .arg(number("max-batch", "32"))
        .arg(decimal("step-ms", "5"))
        .arg(decimal("step-per-request-ms", "0.2"))
        .arg(decimal("prefill-ms", "5"))
        .arg(
            Arg::new("store")
                .long("store")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(ArgAction::SetTrue),
        )
}

fn address() -> Arg {
    Arg::new("address")
        .long("address")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn decimal(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(f64))
}

fn journal() -> Arg {
    Arg::new("journal")
        .long("journal")
        .value_parser(value_parser!(PathBuf))
}

fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the argument is required or has a default")
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = compio::runtime::Runtime::new().expect("a runtime needs nothing special");
    runtime.block_on(run(&matches))
}

async fn run(matches: &ArgMatches) -> ExitCode {
    match matches.subcommand() {
        Some(("demo", _)) => {
            if !demo::run().await {
                return ExitCode::FAILURE;
            }
        }
        Some(("experiment", matches)) => return run_experiment(matches).await,
        Some(("overhead", matches)) => {
            let streams: Vec<usize> = matches
                .get_many::<u64>("streams")
                .expect("the argument has a default")
                .map(|count| *count as usize)
                .collect();
            overhead::run(&streams, get(matches, "step-ms")).await;
        }
        Some(("platform", matches)) => run_platform(matches).await,
        Some(("soak", matches)) => {
            let seconds = Duration::from_secs(get(matches, "seconds"));
            let findings = soak::run(get(matches, "seed"), seconds).await;
            if !report_findings(&findings) {
                return ExitCode::FAILURE;
            }
        }
        Some(("start", matches)) => {
            let sizes = matches.get_many::<u64>("vms").into_iter().flatten();
            for vms in sizes {
                let size = site::start::Size {
                    vms: *vms as usize,
                    servers: get::<u64>(matches, "servers") as usize,
                    is_restart: matches.get_flag("again"),
                };
                site::start::run(size, get::<u64>(matches, "runs") as usize).await;
            }
        }
        Some(("site-soak", matches)) => {
            let (seed, vms, duration) = soak_arguments(matches);
            let findings = site::soak::run(seed, vms, duration).await;
            if !report_findings(&findings) {
                return ExitCode::FAILURE;
            }
        }
        Some(("cut-soak", matches)) => {
            let (seed, vms, duration) = soak_arguments(matches);
            let findings = site::cut_soak::run(seed, vms, duration).await;
            if !report_findings(&findings) {
                return ExitCode::FAILURE;
            }
        }
        Some(("delivery-soak", matches)) => {
            let (seed, vms, duration) = soak_arguments(matches);
            let findings = site::delivery_soak::run(seed, vms, duration).await;
            if !report_findings(&findings) {
                return ExitCode::FAILURE;
            }
        }
        Some(("version-soak", matches)) => {
            let (seed, vms, duration) = soak_arguments(matches);
            let findings = site::version_soak::run(seed, vms, duration).await;
            if !report_findings(&findings) {
                return ExitCode::FAILURE;
            }
        }
        Some(("config-soak", matches)) => {
            let (seed, vms, duration) = soak_arguments(matches);
            let findings = site::config_soak::run(seed, vms, duration).await;
            if !report_findings(&findings) {
                return ExitCode::FAILURE;
            }
        }
        Some(("crash-soak", matches)) => {
            let (seed, vms, duration) = soak_arguments(matches);
            let findings = site::crash_soak::run(seed, vms, duration).await;
            if !report_findings(&findings) {
                return ExitCode::FAILURE;
            }
        }
        Some(("silence-soak", matches)) => {
            let (_, vms, duration) = soak_arguments(matches);
            let play = async |seed| site::silence_soak::run(seed, vms, duration).await;
            if !play_seeds(matches, play).await {
                return ExitCode::FAILURE;
            }
        }
        Some(("crowd-soak", matches)) => {
            let (_, vms, duration) = soak_arguments(matches);
            let play = async |seed| site::crowd_soak::run(seed, vms, duration).await;
            if !play_seeds(matches, play).await {
                return ExitCode::FAILURE;
            }
        }
        Some(("histories", matches)) => {
            let shrinks = get(matches, "shrinks");
            let play = async |seed| site::histories::run(seed, shrinks).await;
            if !play_seeds(matches, play).await {
                return ExitCode::FAILURE;
            }
        }
        Some(("calls", matches)) => {
            let load = CallLoad {
                vms: get::<u64>(matches, "vms") as usize,
                rate: get(matches, "rate"),
                length: Duration::from_secs(get(matches, "seconds")),
            };
            if !calls::run(load).await {
                return ExitCode::FAILURE;
            }
        }
        Some(("capacity", matches)) => {
            let size = Size {
                vms: get::<u64>(matches, "vms") as usize,
                runners: get::<u64>(matches, "runners") as usize,
                models: get::<u64>(matches, "models") as usize,
            };
            capacity::run(&size, Duration::from_secs(get(matches, "seconds"))).await;
        }
        Some(("account", matches)) => return print_account(matches),
        Some(("engine", matches)) => run_engine(matches).await,
        Some(("engines", matches)) => run_engines(matches).await,
        Some(("service", matches)) => run_service(matches).await,
        _ => return ExitCode::FAILURE,
    }
    ExitCode::SUCCESS
}

/// Plays each of the seeds that were asked for and prints the findings; returns whether there are none.
async fn play_seeds(matches: &ArgMatches, play: impl AsyncFn(u64) -> Vec<String>) -> bool {
    let first: u64 = get(matches, "seed");
    let mut is_sound = true;
    for seed in first..first + get::<u64>(matches, "seeds") {
        println!("seed {seed}");
        is_sound &= report_findings(&play(seed).await);
    }
    is_sound
}

/// The seed, the number of VMs and the duration of a soak of a site.
fn soak_arguments(matches: &ArgMatches) -> (u64, usize, Duration) {
    let vms = get::<u64>(matches, "vms") as usize;
    let duration = Duration::from_secs(get(matches, "seconds"));
    (get(matches, "seed"), vms, duration)
}

async fn run_experiment(matches: &ArgMatches) -> ExitCode {
    let name: String = get(matches, "scenario");
    let scenario = Scenario::find(&name).expect("the parser knows the scenarios");
    let policies: Vec<String> = matches
        .get_many::<String>("policy")
        .expect("the argument has a default")
        .cloned()
        .collect();
    let length = Duration::from_secs(get(matches, "seconds"));
    let seed = matches
        .get_one("seed")
        .copied()
        .unwrap_or_else(rand::random);
    let load: f64 = get(matches, "load");
    println!("{name}: seed {seed}, {length:?}, load {load}");
    let reports = experiment::run_all(&scenario, &policies, length, seed, load).await;
    println!("{}", report::table_head());
    for report in &reports {
        println!("{}", report.row());
    }
    let mut whole = experiment::header(&scenario, length, seed, load);
    whole["policies"] = reports.iter().map(PolicyReport::to_json).collect();
    let out: PathBuf = get(matches, "out");
    let title = format!("{name}, load {load}, seed {seed}");
    let json = std::fs::write(out.join(format!("{name}.json")), format!("{whole:#}\n"));
    let plot = report::plot(&reports, &title, &out.join(format!("{name}.svg")));
    let regressions = report::regressions(&reports);
    if matches.get_flag("check") && !regressions.is_empty() {
        eprintln!("{}", regressions.join("\n"));
        return ExitCode::FAILURE;
    }
    match (json, plot) {
        (Ok(()), Ok(())) => ExitCode::SUCCESS,
        (json, plot) => {
            eprintln!("the report is not written: {json:?} {plot:?}");
            ExitCode::FAILURE
        }
    }
}

fn print_account(matches: &ArgMatches) -> ExitCode {
    let mut account = Account::new(Limits {
        first_ms: get(matches, "first-ms"),
        pause_ms: get(matches, "pause-ms"),
        span_s: get(matches, "span-s"),
    });
    for path in matches.get_many::<PathBuf>("log").into_iter().flatten() {
        match std::fs::read_to_string(path) {
            Ok(log) => account.read(&log),
            Err(error) => {
                eprintln!("{} cannot be read: {error}", path.display());
                return ExitCode::FAILURE;
            }
        }
    }
    print!("{}", account.table());
    ExitCode::SUCCESS
}

async fn run_platform(matches: &ArgMatches) {
    let state: String = get(matches, "state");
    let state: PlatformState = serde_json::from_str(&state).expect("the state is valid");
    Rc::new(Platform::new(state))
        .serve(get(matches, "address"))
        .await;
}

fn engine_shape(matches: &ArgMatches) -> EngineShape {
    EngineShape {
        memory_mib: get(matches, "memory-mib"),
        checks_fencing: matches.get_flag("checks-fencing"),
        max_batch: get::<u64>(matches, "max-batch") as usize,
        step_ms: get(matches, "step-ms"),
        step_per_request_ms: get(matches, "step-per-request-ms"),
        prefill_ms: get(matches, "prefill-ms"),
        store: get(matches, "store"),
    }
}

async fn run_engine(matches: &ArgMatches) {
    let journal: Option<&PathBuf> = matches.get_one("journal");
    let engine = Engine::new(engine_shape(matches), journal.map(PathBuf::as_path));
    for held in matches.get_many::<String>("hold").into_iter().flatten() {
        let (artifact, mib) = held.rsplit_once(':').expect("a held artifact has a size");
        engine.hold(artifact, mib.parse().expect("a size is a whole number"));
    }
    Rc::new(engine).serve(get(matches, "address")).await;
}

async fn run_engines(matches: &ArgMatches) {
    let mut address: SocketAddr = get(matches, "address");
    let mut engines = Vec::new();
    for _ in 0..get::<u64>(matches, "count") {
        engines.push(Rc::new(Engine::new(engine_shape(matches), None)).serve(address));
        address.set_port(address.port() + 1);
    }
    futures_util::future::join_all(engines).await;
}

async fn run_service(matches: &ArgMatches) {
    let name: String = get(matches, "name");
    let delay = Duration::from_millis(get(matches, "delay-ms"));
    let journal: Option<&PathBuf> = matches.get_one("journal");
    let service = PlainStandIn::new(&name, delay, journal.map(PathBuf::as_path));
    Rc::new(service).serve(get(matches, "address")).await;
}

/// Prints what a soak found; returns whether it found nothing.
fn report_findings(findings: &[String]) -> bool {
    for finding in findings {
        println!("broken: {finding}");
    }
    findings.is_empty()
}
