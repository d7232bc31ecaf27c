//! The definition of the command line.

use clap::{Arg, ArgAction, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Returns the definition of the command line.
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
            "Exit codes: 0 success, 2 invalid settings, inventory or arguments, 3 unreachable \
             or address in use, 4 refused",
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
                .about(
                    "Run one VM on the users' platform, configured by the platform's settings file",
                )
                .arg(
                    Arg::new("metrics_port")
                        .long("metrics-port")
                        .value_name("PORT")
                        .value_parser(value_parser!(u16).range(1..))
                        .help("Also serve metrics on this port, at /metrics"),
                ),
        )
        .subcommand(
            Command::new("publish")
                .about("Publish an inventory to all VMs")
                .arg(file_argument("The inventory, in JSON"))
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
                        .help("Start with an empty state if the log has lost the configuration"),
                )
                .arg(
                    Arg::new("dry_run")
                        .long("dry-run")
                        .action(ArgAction::SetTrue)
                        .help(
                            "Show the planned moves and whether everything fits, without changes",
                        ),
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
                        .help("Refresh every second"),
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Show the recent decisions about a request, model or runner")
                .arg(
                    Arg::new("about")
                        .value_name("REQUEST-ID|MODEL|RUNNER")
                        .required(true)
                        .help(
                            "The subject of the decisions; only those of the queried VM are shown",
                        ),
                )
                .arg(via),
        )
        .subcommand(
            Command::new("import")
                .about("Print an inventory with servers and models from an asset register in CSV")
                .arg(csv_argument(
                    "servers",
                    "CSV file with one backend server per row",
                ))
                .arg(csv_argument(
                    "models",
                    "CSV file with one model or adapter per row",
                ))
                .arg(
                    Arg::new("into")
                        .long("into")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("Inventory in JSON that supplies everything not imported"),
                ),
        )
        .subcommand(
            Command::new("check")
                .about("Check an inventory or settings and print every problem")
                .arg(file_argument(
                    "An inventory or settings in JSON, or a platform's settings in TOML",
                )),
        )
        .subcommand(
            Command::new("trace")
                .about("Merge the log lines of one request from several VMs, in order of time")
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
                        .help("Logs of `rattanjunction front`, one file per VM"),
                ),
        )
        .subcommand(Command::new("events").about("Print the catalogue of log events"))
        .subcommand(
            Command::new("replay")
                .about("Fold a page of the control stream and print the resulting state")
                .arg(file_argument(
                    "A page of records in JSON, as the log service returns it",
                )),
        )
        .subcommand(
            Command::new("completions")
                .about("Print a shell completion script")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(clap_complete::Shell)),
                ),
        )
}

fn csv_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("CSV")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn file_argument(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}
