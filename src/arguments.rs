//! The arguments of the command line.

use clap::{Arg, ArgAction, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

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
