//! The command line.

use crate::check;
use crate::config::Config;
use crate::error::Fault;
use crate::events::EVENTS;
use crate::gateway;
use crate::inventory::Inventory;
use crate::operator::Publication;
use crate::platform::{self, PlatformProtocol, PlatformRunners, PlatformStore};
use crate::register;
use crate::replay::Replay;
use crate::trace::trace;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::{Report, ResultExt};
use serde_json::Value;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Exit code for settings, inventories or arguments that are not valid.
const EXIT_INVALID: u8 = 2;
/// Exit code for a VM that does not answer or an address that is taken.
const EXIT_UNREACHABLE: u8 = 3;
/// Exit code for what the system refused, such as a conflicting change.
const EXIT_REFUSED: u8 = 4;

/// The time between two looks of `status --watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// What clears a terminal before the next look.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Describes the command line.
pub fn command() -> Command {
    let via = Arg::new("via")
        .long("via")
        .value_name("ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("The operator address of any VM");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON");
    Command::new("rattanjunction")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves many models on fewer accelerators")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit codes: 0 done, 2 invalid settings, inventory or arguments, 3 unreachable or \
             address taken, 4 refused",
        )
        .subcommand(
            Command::new("serve").about("Run one VM of the system").arg(
                Arg::new("config")
                    .long("config")
                    .value_name("FILE")
                    .required(true)
                    .value_parser(value_parser!(PathBuf))
                    .help("The VM's settings"),
            ),
        )
        .subcommand(
            Command::new("front")
                .about("Run one VM on the users' platform, by the settings file that it names")
                .arg(
                    Arg::new("metrics_port")
                        .long("metrics-port")
                        .value_name("PORT")
                        .value_parser(value_parser!(u16).range(1..))
                        .help("Serve metrics at this port too, at /metrics"),
                ),
        )
        .subcommand(
            Command::new("publish")
                .about("Put an inventory in force everywhere")
                .arg(file("The inventory, in JSON"))
                .arg(via.clone())
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("REVISION")
                        .value_parser(value_parser!(u64))
                        .help("Refuse unless this revision is in force"),
                )
                .arg(
                    Arg::new("start_anew")
                        .long("start-anew")
                        .action(ArgAction::SetTrue)
                        .help("Begin anew where the configuration was lost with the log's records"),
                )
                .arg(
                    Arg::new("dry_run")
                        .long("dry-run")
                        .action(ArgAction::SetTrue)
                        .help("Show what would move and whether everything fits; change nothing"),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("Show VMs, runners, models and the revision in force")
                .arg(via.clone())
                .arg(json)
                .arg(
                    Arg::new("watch")
                        .long("watch")
                        .action(ArgAction::SetTrue)
                        .help("Look again every second"),
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Tell why a request, model or runner was routed or placed as it was")
                .arg(
                    Arg::new("about")
                        .value_name("REQUEST-ID|MODEL|RUNNER")
                        .required(true)
                        .help("What to explain, from the recent decisions of the asked VM"),
                )
                .arg(via),
        )
        .subcommand(
            Command::new("import")
                .about("Print an inventory with servers and models from an asset register in CSV")
                .arg(csv("servers", "Backend servers, a row each"))
                .arg(csv("models", "Models and adapters, a row each"))
                .arg(
                    Arg::new("into")
                        .long("into")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("The inventory, in JSON, that gives all the rest"),
                ),
        )
        .subcommand(
            Command::new("check")
                .about("Check an inventory or settings and print all that is wrong")
                .arg(file(
                    "An inventory or settings in JSON, or a platform's settings in TOML",
                )),
        )
        .subcommand(
            Command::new("trace")
                .about("Put the log lines about one request, from several VMs, in order")
                .arg(
                    Arg::new("id")
                        .value_name("REQUEST-ID")
                        .required(true)
                        .help("The request's id"),
                )
                .arg(
                    Arg::new("logs")
                        .value_name("LOGFILE")
                        .required(true)
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf))
                        .help("Logs of `rattanjunction front`, a file a VM"),
                ),
        )
        .subcommand(Command::new("events").about("Print the catalogue of log events"))
        .subcommand(
            Command::new("replay")
                .about("Fold a page of the control stream and print the state")
                .arg(file("A page as the log answers it, in JSON")),
        )
        .subcommand(
            Command::new("completions")
                .about("Print a completion script")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(clap_complete::Shell)),
                ),
        )
}

fn csv(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("CSV")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn file(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Runs the command line of this process.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let outcome = match matches.subcommand() {
        Some(("serve", matches)) => serve(matches),
        Some(("front", matches)) => front(matches),
        Some(("publish", matches)) => publish(matches),
        Some(("status", matches)) => status(matches),
        Some(("check", matches)) => check(matches),
        Some(("explain", matches)) => explain(matches),
        Some(("import", matches)) => import(matches),
        Some(("events", _)) => {
            print_events();
            Ok(())
        }
        Some(("replay", matches)) => replay(matches),
        Some(("trace", matches)) => print_trace(matches),
        Some(("completions", matches)) => {
            print_completions(matches);
            Ok(())
        }
        _ => Err(Report::new(Fault::Settings)),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {}", describe(&report));
            ExitCode::from(match report.current_context() {
                Fault::Settings => EXIT_INVALID,
                Fault::Bind | Fault::Exchange | Fault::Logging => EXIT_UNREACHABLE,
                Fault::Refused => EXIT_REFUSED,
            })
        }
    }
}

/// The report's context with what was attached to it, a line each.
fn describe(report: &Report<Fault>) -> String {
    use error_stack::{AttachmentKind, FrameKind};
    let mut lines = vec![report.current_context().to_string()];
    for frame in report.frames() {
        if let FrameKind::Attachment(AttachmentKind::Printable(attachment)) = frame.kind() {
            lines.push(attachment.to_string());
        }
    }
    lines.join("\n  ")
}

fn runtime() -> Result<compio::runtime::Runtime, Report<Fault>> {
    compio::runtime::Runtime::new().change_context(Fault::Bind)
}

fn serve(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let path: &PathBuf = matches.get_one("config").expect("required");
    let config = Config::load(path)?;
    let format = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(log::LevelFilter::Off)
        .set_thread_level(log::LevelFilter::Off)
        .build();
    TermLogger::init(
        config.log_level,
        format,
        TerminalMode::Stderr,
        ColorChoice::Never,
    )
    .change_context(Fault::Logging)?;
    runtime()?.block_on(crate::server::serve(config))
}

fn print_trace(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let id: &String = matches.get_one("id").expect("required");
    let logs: Vec<PathBuf> = matches
        .get_many("logs")
        .expect("required")
        .cloned()
        .collect();
    print!("{}", trace(id, &logs)?);
    Ok(())
}

fn front(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let mut settings = platform::load_settings(&platform::settings_path())?;
    let port = matches.get_one::<u16>("metrics_port");
    settings.metrics_address = port.map(|port| SocketAddr::new(settings.ready_address.ip(), *port));
    let metrics = Rc::new(gateway::Metrics::new());
    let store = Rc::new(PlatformStore::new(settings.log_address, metrics.clone()));
    runtime()?.block_on(gateway::serve::<PlatformProtocol, _, _>(
        settings,
        metrics,
        store,
        PlatformRunners,
        platform::READY_PATH,
    ))
}

fn publish(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let path: &PathBuf = matches.get_one("file").expect("required");
    let publication = Publication {
        base: matches.get_one("base").copied(),
        start_anew: matches.get_flag("start_anew"),
        dry_run: matches.get_flag("dry_run"),
        inventory: check::load(path, Inventory::problems)?,
    };
    let answer = runtime()?.block_on(exchange(matches, "publish", Some(&publication)))?;
    if publication.dry_run {
        return print_forecast(&answer);
    }
    println!("revision {} is in force", answer["revision"]);
    Ok(())
}

/// Prints what a publication would bring; one that does not fit is refused.
fn print_forecast(forecast: &Value) -> Result<(), Report<Fault>> {
    println!("{:<8} {:<32} {:<16} REASON", "ORDER", "ARTIFACT", "RUNNER");
    for step in items(&forecast["moves"]) {
        println!(
            "{:<8} {:<32} {:<16} {}",
            text(&step["order"]),
            text(&step["artifact"]),
            text(&step["runner"]),
            text(&step["reason"])
        );
    }
    println!("{} moves", items(&forecast["moves"]).count());
    let revision = text(&forecast["revision"]);
    if forecast["base_in_force"] == false {
        let message = format!("conflict: revision {revision} is in force");
        return Err(Report::new(Fault::Refused).attach(message));
    }
    let missing: Vec<String> = items(&forecast["missing"]).map(text).collect();
    if missing.is_empty() {
        println!("everything fits");
        return Ok(());
    }
    let message = format!("no place for {}", missing.join(", "));
    Err(Report::new(Fault::Refused).attach(message))
}

fn status(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let runtime = runtime()?;
    loop {
        let answer = runtime.block_on(exchange(matches, "status", None))?;
        if matches.get_flag("watch") {
            print!("{CLEAR_SCREEN}");
        }
        if matches.get_flag("json") {
            println!("{answer:#}");
        } else {
            print_status(&answer);
        }
        if !matches.get_flag("watch") {
            return Ok(());
        }
        runtime.block_on(compio::time::sleep(WATCH_INTERVAL));
    }
}

fn explain(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let about: &String = matches.get_one("about").expect("required");
    let route = format!("explain?about={about}");
    let answer = runtime()?.block_on(exchange(matches, &route, None))?;
    for decision in items(&answer["decisions"]) {
        println!(
            "{} {:<14} {}",
            text(&decision["at_ms"]),
            text(&decision["event"]),
            text(&decision["fields"])
        );
    }
    if items(&answer["decisions"]).next().is_none() {
        let message = format!("the asked VM made no recent decision about {about}");
        return Err(Report::new(Fault::Refused).attach(message));
    }
    Ok(())
}

fn import(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let path = |name: &str| matches.get_one::<PathBuf>(name);
    let mut inventory = match path("into") {
        // What is imported may be what the rest lacks; so the rules come last.
        Some(path) => check::load(path, |_: &Inventory| Vec::new())?,
        None => Inventory::default(),
    };
    if let Some(path) = path("servers") {
        register::import_servers(&mut inventory, path)?;
    }
    if let Some(path) = path("models") {
        register::import_models(&mut inventory, path)?;
    }
    let problems = inventory.problems();
    if !problems.is_empty() {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        return Err(Report::new(Fault::Settings).attach(lines.join("\n  ")));
    }
    let inventory = serde_json::to_string_pretty(&inventory).change_context(Fault::Settings)?;
    println!("{inventory}");
    Ok(())
}

fn check(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let path: &PathBuf = matches.get_one("file").expect("required");
    if path
        .extension()
        .is_some_and(|extension| extension == "toml")
    {
        platform::load_settings(path)?;
        println!("{} is valid", path.display());
        return Ok(());
    }
    let value: Value = check::load(path, |_| Vec::new())?;
    if value.get("caller_address").is_some() {
        Config::load(path)?;
    } else {
        check::load(path, Inventory::problems)?;
    }
    println!("{} is valid", path.display());
    Ok(())
}

/// Calls a VM's operator address; an error answer becomes a report.
async fn exchange(
    matches: &ArgMatches,
    route: &str,
    publication: Option<&Publication>,
) -> Result<Value, Report<Fault>> {
    let via: &SocketAddr = matches.get_one("via").expect("required");
    let url = format!("http://{via}/{route}");
    let unreachable = || format!("no answer from {via}");
    let client = cyper::Client::new().change_context(Fault::Exchange)?;
    let request = match publication {
        None => client.get(&url).change_context(Fault::Exchange)?,
        Some(publication) => client
            .post(&url)
            .change_context(Fault::Exchange)?
            .json(publication)
            .change_context(Fault::Exchange)?,
    };
    let response = request
        .send()
        .await
        .change_context(Fault::Exchange)
        .attach_with(unreachable)?;
    let status = response.status();
    let answer: Value = response
        .json()
        .await
        .change_context(Fault::Exchange)
        .attach_with(unreachable)?;
    if status.is_success() {
        return Ok(answer);
    }
    let message = answer["error"]["message"].as_str().unwrap_or("no message");
    let code = answer["error"]["code"].as_str().unwrap_or("unknown");
    Err(Report::new(Fault::Refused).attach(format!("{code}: {message}")))
}

fn print_status(status: &Value) {
    println!(
        "revision {} as seen by {}",
        status["revision"],
        text(&status["vm"])
    );
    for warning in items(&status["warnings"]) {
        println!("warning: {}", text(warning));
    }
    println!(
        "\n{:<16} {:<14} {:<6} {:>9}",
        "VM", "ZONE", "ALIVE", "REVISION"
    );
    for vm in items(&status["vms"]) {
        println!(
            "{:<16} {:<14} {:<6} {:>9}",
            text(&vm["name"]),
            text(&vm["availability_zone"]),
            text(&vm["alive"]),
            text(&vm["revision"])
        );
    }
    println!(
        "\n{:<16} {:<14} {:<6} {:>8} {:>8} {:>7} {:>7}",
        "RUNNER", "ZONE", "UP", "TAKEN", "ROOM", "RUNNING", "WAITING"
    );
    for runner in items(&status["runners"]) {
        println!(
            "{:<16} {:<14} {:<6} {:>8} {:>8} {:>7} {:>7}",
            text(&runner["name"]),
            text(&runner["availability_zone"]),
            text(&runner["up"]),
            text(&runner["taken_mib"]),
            text(&runner["room_mib"]),
            text(&runner["running"]),
            text(&runner["waiting"])
        );
    }
    println!("\n{:<24} {:<10} RESIDENT ON", "MODEL", "VERSION");
    for model in items(&status["models"]) {
        let on: Vec<String> = items(&model["resident_on"]).map(text).collect();
        println!(
            "{:<24} {:<10} {}",
            text(&model["name"]),
            text(&model["version"]),
            on.join(" ")
        );
    }
}

fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn print_events() {
    for row in EVENTS {
        println!(
            "E{} {:<18} {:<5} {}",
            row.number, row.name, row.level, row.text
        );
    }
}

fn replay(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let path: &PathBuf = matches.get_one("file").expect("required");
    let page = std::fs::read_to_string(path)
        .change_context(Fault::Settings)
        .attach_with(|| format!("{} cannot be read", path.display()))?;
    let mut replay = Replay::default();
    replay.fold_page(&page)?;
    println!("{:#}", replay.state());
    Ok(())
}

fn print_completions(matches: &ArgMatches) {
    let shell: &clap_complete::Shell = matches.get_one("shell").expect("required");
    clap_complete::generate(
        *shell,
        &mut command(),
        "rattanjunction",
        &mut std::io::stdout(),
    );
}
