//! The operators' side: status, metrics, health and publication.

use crate::control::{Command, CopyState, Verdict};
use crate::dry_run::DryRun;
use crate::entry::Entry;
use crate::error::{Failure, Kind};
use crate::events::{Event, emit};
use crate::fleet::Fleet;
use crate::http::{Body, json_response, read_body};
use crate::inventory::{Inventory, InventoryChange, Name};
use crate::membership::Membership;
use crate::metrics::{Metrics, StreamLabels};
use crate::recent_decisions;
use crate::server::{ControlStream, KeyStream};
use crate::service_registry::{Kernel, Service};
use crate::stream::{ProposeError, Recorded};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long an operator waits for the log before the outcome is called unknown.
const PUBLISH_LIMIT: Duration = Duration::from_millis(3_000);
/// How long a publication may wait behind other records before it is refused unwritten.
const QUEUE_LIMIT: Duration = Duration::from_millis(2_500);
/// The largest inventory, in bytes.
const MAX_INVENTORY_BYTES: usize = 16 * 1024 * 1024;

/// A publication as operators send it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Publication {
    /// The revision that the change was made from; the present one if absent.
    pub(crate) base: Option<u64>,
    /// Whether to begin anew where the configuration in force was lost.
    #[serde(default)]
    pub(crate) start_anew: bool,
    /// Whether only to tell what would come of it.
    #[serde(default)]
    pub(crate) dry_run: bool,
    /// The whole inventory.
    pub(crate) inventory: Inventory,
}

/// The operators' service of one VM.
pub(crate) struct Operator {
    vm: Name,
    zone: Name,
    entry: Rc<Entry>,
    control: Rc<ControlStream>,
    keys: Rc<KeyStream>,
    fleet: Rc<Fleet>,
    membership: Rc<Membership>,
    metrics: Rc<Metrics>,
}

impl Service for Operator {
    const NAME: &'static str = "operator";
}

impl Operator {
    /// An operators' service over the services it reads.
    pub(crate) fn new(kernel: &Kernel, vm: Name, zone: Name) -> Self {
        Self {
            vm,
            zone,
            entry: kernel.find(),
            control: kernel.find(),
            keys: kernel.find(),
            fleet: kernel.find(),
            membership: kernel.find(),
            metrics: kernel.find(),
        }
    }

    /// Answers one request.
    pub(crate) async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => Ok(self.entry.health()),
            (&Method::GET, "/metrics") => Ok(self.metrics()),
            (&Method::GET, "/status") => Ok(json_response(StatusCode::OK, &self.status())),
            (&Method::GET, "/inventory") => Ok(self.inventory()),
            (&Method::GET, "/explain") => Ok(explain(request.uri().query().unwrap_or_default())),
            (&Method::POST, "/publish") => self.publish(request.into_body()).await,
            (_, path) => Err(Failure::new(Kind::NotFound, format!("no route for {path}"))),
        };
        answer.unwrap_or_else(|failure| failure.to_response())
    }

    fn metrics(&self) -> Response<Body> {
        for (stream, appends) in [
            ("control", self.control.appends()),
            ("keys", self.keys.appends()),
        ] {
            let appends = i64::try_from(appends).unwrap_or(i64::MAX);
            self.metrics
                .appends
                .get_or_create(&StreamLabels { stream })
                .set(appends);
        }
        let revision = self.control.with(|control| control.revision);
        self.metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.metrics.peers.set(self.membership.live_peers() as i64);
        self.metrics
            .keys
            .set(self.keys.with(|keys| keys.len()) as i64);
        let mut response = Response::new(Body::full(self.metrics.to_text()));
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/openmetrics-text; version=1.0.0"),
        );
        response
    }

    fn inventory(&self) -> Response<Body> {
        let body = self.control.with(
            |control| json!({"revision": control.revision, "inventory": &*control.inventory}),
        );
        json_response(StatusCode::OK, &body)
    }

    async fn publish(&self, body: Incoming) -> Result<Response<Body>, Failure> {
        let bytes = read_body(body, MAX_INVENTORY_BYTES)
            .await
            .map_err(|_error| Failure::new(Kind::TooLarge, "the inventory could not be read"))?;
        let mut deserializer = serde_json::Deserializer::from_slice(&bytes);
        let publication: Publication = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| {
                let message = format!("field {}: {}", error.path(), error.inner());
                Failure::new(Kind::Malformed, message)
            })?;
        let problems = publication.inventory.problems();
        if !problems.is_empty() {
            let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
            return Err(Failure::new(Kind::InvalidInventory, problems.join("; ")));
        }
        if publication.dry_run {
            return Ok(self.forecast(publication));
        }
        if publication.start_anew {
            self.start_anew().await?;
        }
        let present = self.control.with(|control| control.revision);
        let base = publication.base.unwrap_or(present);
        let command = self.command(base, publication.inventory);
        let recorded = self.record(command).await?;
        let accepted = recorded.verdict == Verdict::Accepted;
        let revision = self.control.with(|control| control.revision);
        emit(
            Event::Published,
            format_args!("base={base} accepted={accepted} revision={revision}"),
        );
        if accepted {
            let body = json!({"revision": recorded.position.fence});
            return Ok(json_response(StatusCode::OK, &body));
        }
        Ok(conflict(base, revision))
    }

    /// Tells what would move, and whether everything would find its place.
    fn forecast(&self, publication: Publication) -> Response<Body> {
        let (revision, dry_run) = self.control.with(|control| {
            let dry_run = DryRun::new(control, publication.inventory);
            (control.revision, dry_run)
        });
        let forecast = dry_run.run(|name| {
            // A runner that is new with this publication is taken for ready.
            let known = self.fleet.runner(name);
            known.is_none_or(|runner| runner.is_up()) && !self.membership.is_server_leaving(name)
        });
        let body = json!({
            "revision": revision,
            "base_in_force": publication.base.is_none_or(|base| base == revision),
            "fits": forecast.missing.is_empty(),
            "moves": forecast.moves,
            "missing": forecast.missing,
        });
        json_response(StatusCode::OK, &body)
    }

    /// Begins with an empty state, if nobody knows the one that was in force.
    async fn start_anew(&self) -> Result<(), Failure> {
        if self.control.has_usable_state() || self.membership.furthest_peer(0).is_some() {
            let message = "the configuration in force is known; publish without starting anew";
            return Err(Failure::new(Kind::Conflict, message));
        }
        let unavailable = |_| {
            let message = "the log does not take the publication now";
            Failure::new(Kind::LogUnavailable, message)
        };
        self.control.start_anew().await.map_err(unavailable)?;
        let known = async {
            loop {
                let changed = self.control.changed();
                if self.control.is_ready() {
                    return;
                }
                changed.await;
            }
        };
        let waited = compio::time::timeout(PUBLISH_LIMIT, known).await;
        waited.map_err(|_elapsed| Failure::new(Kind::LogUnavailable, "the log is not readable"))
    }

    /// The command of a publication: the change alone where the base is known here.
    fn command(&self, base: u64, inventory: Inventory) -> Command {
        let change = self.control.with(|control| {
            let known = control.revision == base && base > 0;
            known.then(|| InventoryChange::between(&control.inventory, &inventory))?
        });
        match change {
            Some(change) => Command::Amend {
                base,
                change: Rc::new(change),
            },
            None => Command::Publish {
                base,
                inventory: Rc::new(inventory),
            },
        }
    }

    /// Records a publication, and says what is known of it when that takes too long.
    async fn record(&self, command: Command) -> Result<Recorded<Verdict>, Failure> {
        let deadline = Instant::now() + QUEUE_LIMIT;
        let proposed = self.control.propose_by(command, deadline);
        match compio::time::timeout(PUBLISH_LIMIT, proposed).await {
            Ok(Ok(recorded)) => Ok(recorded),
            Ok(Err(ProposeError::NotRecorded)) => Err(Failure::new(
                Kind::LogUnavailable,
                "the log does not take the publication now; it is not recorded and will not be",
            )),
            Ok(Err(ProposeError::VerdictLost)) | Err(_) => Err(Failure::new(
                Kind::OutcomeUnknown,
                "the log has not confirmed the publication; it may be in force or come into force \
                 later: look at status before publishing again",
            )),
        }
    }

    fn status(&self) -> Value {
        json!({
            "vm": self.vm,
            "availability_zone": self.zone,
            "revision": self.control.with(|control| control.revision),
            "warnings": self.membership.warnings(&self.control),
            "log_silence_ms": self.control.silence().map(|silence| silence.as_millis() as u64),
            "vm_list_age_ms": self.membership.list_age().map(|age| age.as_millis() as u64),
            "vms": self.vms(),
            "claims": self.control.with(|control| json!(control.claims)),
            "runners": self.runners(),
            "models": self.models(),
        })
    }

    fn vms(&self) -> Vec<Value> {
        let own = json!({"name": self.vm, "availability_zone": self.zone, "alive": true,
            "revision": self.control.with(|control| control.revision)});
        let peers = self.membership.peers().into_iter().map(|(name, peer)| {
            let heard = peer.heard.as_ref();
            json!({
                "name": name,
                "availability_zone": heard.map(|(_, heartbeat)| &heartbeat.availability_zone),
                "alive": self.membership.is_alive(&name),
                "leaving": peer.listed_leaving || heard.is_some_and(|(_, said)| said.leaving),
                "revision": heard.map(|(_, heartbeat)| heartbeat.revision),
            })
        });
        std::iter::once(own).chain(peers).collect()
    }

    fn runners(&self) -> Vec<Value> {
        self.control.with(|control| {
            control
                .inventory
                .runners()
                .map(|server| {
                    let ledger = control.ledger(&server.name);
                    let runner = self.fleet.runner(&server.name);
                    let load = runner.as_ref().and_then(|runner| {
                        runner.report(|report| (report.running, report.waiting))
                    });
                    json!({
                        "name": server.name,
                        "availability_zone": server.availability_zone,
                        "up": runner.is_some_and(|runner| runner.is_up()),
                        "leaving": server.leaving || self.membership.is_server_leaving(&server.name),
                        "running": load.map(|(running, _)| running),
                        "waiting": load.map(|(_, waiting)| waiting),
                        "room_mib": server.weights_room_mib(),
                        "taken_mib": ledger.taken_mib(),
                        "copies": ledger.copies.iter().map(|(artifact, copy)| json!({
                            "artifact": artifact.to_string(), "mib": copy.mib,
                            "state": format!("{:?}", copy.state).to_lowercase(),
                        })).collect::<Vec<_>>(),
                    })
                })
                .collect()
        })
    }

    fn models(&self) -> Vec<Value> {
        self.control.with(|control| {
            control
                .inventory
                .models
                .iter()
                .map(|model| {
                    let on: Vec<&Name> = control
                        .ledgers
                        .iter()
                        .filter(|(_, ledger)| {
                            !ledger.down
                                && ledger.copies.iter().any(|(artifact, copy)| {
                                    artifact.model == model.name
                                        && artifact.adapter.is_none()
                                        && artifact.version == model.version
                                        && copy.state == CopyState::Resident
                                })
                        })
                        .map(|(name, _)| name)
                        .collect();
                    json!({"name": model.name, "version": model.version, "resident_on": on})
                })
                .collect()
        })
    }
}

/// The recent decisions of this VM about what the query names.
fn explain(query: &str) -> Response<Body> {
    let what = query.strip_prefix("about=").unwrap_or_default();
    let decisions: Vec<Value> = recent_decisions::about(what)
        .iter()
        .map(|decision| {
            json!({
                "at_ms": decision.at_ms,
                "event": decision.row.name,
                "text": decision.row.text,
                "fields": decision.fields,
            })
        })
        .collect();
    json_response(
        StatusCode::OK,
        &json!({"about": what, "decisions": decisions}),
    )
}

/// The answer to an operator whose change lost to another.
fn conflict(base: u64, revision: u64) -> Response<Body> {
    let message = format!(
        "the change was made from revision {base}, but revision {revision} is in force; look at \
         it and publish again"
    );
    let failure = Failure::new(Kind::Conflict, message);
    let mut body = failure.to_json();
    body["error"]["base"] = json!(base);
    body["error"]["revision"] = json!(revision);
    json_response(StatusCode::CONFLICT, &body)
}
