//! The subcommands of the command line.

pub use crate::arguments::command;
use crate::check;
use crate::config::Config;
use crate::csv_import;
use crate::error::Fault;
use crate::events::EVENTS;
use crate::gateway;
use crate::inventory::Inventory;
use crate::operator::Publication;
use crate::platform::{self, PlatformProtocol, PlatformRunners, PlatformStore};
use crate::replay::Replay;
use crate::trace::trace;
use clap::ArgMatches;
use error_stack::{Report, ResultExt};
use serde_json::Value;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Exit code for invalid settings, inventories or arguments.
const EXIT_INVALID: u8 = 2;
/// Exit code for a VM that does not respond or an address that is already in use.
const EXIT_UNREACHABLE: u8 = 3;
/// Exit code for a request that the system refused, such as a conflicting change.
const EXIT_REFUSED: u8 = 4;

/// The polling interval of `status --watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// The escape sequence that clears a terminal.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Parses the command line of this process and runs its subcommand.
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
            eprintln!("error: {}", format_report(&report));
            ExitCode::from(match report.current_context() {
                Fault::Settings => EXIT_INVALID,
                Fault::Bind | Fault::Exchange | Fault::Logging | Fault::Signals => EXIT_UNREACHABLE,
                Fault::Refused => EXIT_REFUSED,
            })
        }
    }
}

/// Formats the report's context and its printable attachments, one a line.
fn format_report(report: &Report<Fault>) -> String {
    use error_stack::{AttachmentKind, FrameKind};
    let mut lines = vec![report.current_context().to_string()];
    for frame in report.frames() {
        if let FrameKind::Attachment(AttachmentKind::Printable(attachment)) = frame.kind() {
            lines.push(attachment.to_string());
        }
    }
    lines.join("\n  ")
}

fn new_runtime() -> Result<compio::runtime::Runtime, Report<Fault>> {
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
    new_runtime()?.block_on(crate::server::serve(config))
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
    new_runtime()?.block_on(gateway::serve::<PlatformProtocol, _, _>(
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
    let answer = new_runtime()?.block_on(call_vm(matches, "publish", Some(&publication)))?;
    if publication.dry_run {
        return print_dry_run(&answer);
    }
    println!("revision {} is in force", answer["revision"]);
    Ok(())
}

/// Prints the orders that a publication would lead to. Fails if it conflicts with the revision in
/// force or if a model or adapter does not fit.
fn print_dry_run(plan: &Value) -> Result<(), Report<Fault>> {
    println!("{:<8} {:<32} {:<16} REASON", "ORDER", "ARTIFACT", "RUNNER");
    for step in elements(&plan["moves"]) {
        println!(
            "{:<8} {:<32} {:<16} {}",
            text(&step["order"]),
            text(&step["artifact"]),
            text(&step["runner"]),
            text(&step["reason"])
        );
    }
    println!("{} moves", elements(&plan["moves"]).count());
    let revision = text(&plan["revision"]);
    if plan["base_in_force"] == false {
        let message = format!("conflict: revision {revision} is in force");
        return Err(Report::new(Fault::Refused).attach(message));
    }
    let missing: Vec<String> = elements(&plan["missing"]).map(text).collect();
    if missing.is_empty() {
        println!("everything fits");
        return Ok(());
    }
    let message = format!("no place for {}", missing.join(", "));
    Err(Report::new(Fault::Refused).attach(message))
}

fn status(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let runtime = new_runtime()?;
    loop {
        let answer = runtime.block_on(call_vm(matches, "status", None))?;
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
    let answer = new_runtime()?.block_on(call_vm(matches, &route, None))?;
    for decision in elements(&answer["decisions"]) {
        println!(
            "{} {:<14} {}",
            text(&decision["at_ms"]),
            text(&decision["event"]),
            text(&decision["fields"])
        );
    }
    if elements(&answer["decisions"]).next().is_none() {
        let message = format!("the queried VM has no recent decision about {about}");
        return Err(Report::new(Fault::Refused).attach(message));
    }
    Ok(())
}

fn import(matches: &ArgMatches) -> Result<(), Report<Fault>> {
    let path = |name: &str| matches.get_one::<PathBuf>(name);
    let mut inventory = match path("into") {
        // The file may refer to rows that are imported below, so it is validated after that.
        Some(path) => check::load(path, |_: &Inventory| Vec::new())?,
        None => Inventory::default(),
    };
    if let Some(path) = path("servers") {
        csv_import::import_servers(&mut inventory, path)?;
    }
    if let Some(path) = path("models") {
        csv_import::import_models(&mut inventory, path)?;
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

/// Sends a request to a VM's operator address and returns the JSON response. An error response
/// becomes a report.
async fn call_vm(
    matches: &ArgMatches,
    route: &str,
    publication: Option<&Publication>,
) -> Result<Value, Report<Fault>> {
    let via: &SocketAddr = matches.get_one("via").expect("required");
    let url = format!("http://{via}/{route}");
    let unreachable = || format!("no response from {via}");
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
    for warning in elements(&status["warnings"]) {
        println!("warning: {}", text(warning));
    }
    println!(
        "\n{:<16} {:<14} {:<6} {:>9}",
        "VM", "ZONE", "ALIVE", "REVISION"
    );
    for vm in elements(&status["vms"]) {
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
    for runner in elements(&status["runners"]) {
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
    for model in elements(&status["models"]) {
        let on: Vec<String> = elements(&model["resident_on"]).map(text).collect();
        println!(
            "{:<24} {:<10} {}",
            text(&model["name"]),
            text(&model["version"]),
            on.join(" ")
        );
    }
}

/// Iterates over a JSON array; any other value counts as an empty one.
fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Formats a JSON value for a table, strings without quotes.
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
