//! The operators' HTTP interface: health, metrics, status and publication of inventories.

use crate::client_memory::{BodyError, ClientAccount, ClientMemory, read_request_body};
use crate::control::{Command, CopyState, Verdict};
use crate::dry_run::DryRun;
use crate::entry::Entry;
use crate::error::{Failure, Kind};
use crate::events::{Event, emit};
use crate::fleet::Fleet;
use crate::http::{Body, json_response};
use crate::inventory::{Inventory, InventoryChange, Name};
use crate::membership::Membership;
use crate::metrics::{Metrics, StreamLabels};
use crate::recent_decisions;
use crate::server::{ControlStream, KeyStream};
use crate::service_registry::{Service, ServiceRegistry};
use crate::stream::{ProposeError, Recorded};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a publication may take before its outcome is reported as unknown.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long a publication may wait behind other records before it is refused without being
/// written to the log.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The largest body of a publication, in bytes.
const MAX_INVENTORY_BYTES: usize = 16 * 1024 * 1024;

/// An operator's request to publish an inventory.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Publication {
    /// The revision that the inventory is based on; the revision in force if absent.
    pub(crate) base: Option<u64>,
    /// Whether to start from an empty state if the configuration in force was lost.
    #[serde(default)]
    pub(crate) start_anew: bool,
    /// Whether to return a forecast of the resulting orders without publishing.
    #[serde(default)]
    pub(crate) dry_run: bool,
    /// The complete new inventory.
    pub(crate) inventory: Inventory,
}

/// The operators' interface of one VM.
pub(crate) struct Operator {
    vm: Name,
    zone: Name,
    entry: Rc<Entry>,
    control: Rc<ControlStream>,
    keys: Rc<KeyStream>,
    fleet: Rc<Fleet>,
    membership: Rc<Membership>,
    metrics: Rc<Metrics>,
    client_memory: Rc<ClientMemory>,
}

impl Service for Operator {
    const NAME: &'static str = "operator";
}

impl Operator {
    /// Creates the operators' interface from the VM's services.
    pub(crate) fn new(registry: &ServiceRegistry, vm: Name, zone: Name) -> Self {
        Self {
            vm,
            zone,
            entry: registry.find(),
            control: registry.find(),
            keys: registry.find(),
            fleet: registry.find(),
            membership: registry.find(),
            metrics: registry.find(),
            client_memory: registry.find(),
        }
    }

    /// Handles one request.
    pub(crate) async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => Ok(self.entry.health()),
            (&Method::GET, "/metrics") => Ok(self.metrics()),
            (&Method::GET, "/status") => Ok(json_response(StatusCode::OK, &self.status())),
            (&Method::GET, "/inventory") => Ok(self.inventory()),
            (&Method::GET, "/explain") => Ok(explain(request.uri().query().unwrap_or_default())),
            (&Method::POST, "/publish") => self.publish(request).await,
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
        let memory = &self.client_memory;
        let gauges = &self.metrics;
        gauges.client_memory.set(memory.reserved_bytes() as i64);
        gauges.client_memory_limit.set(memory.max_bytes() as i64);
        let revision = self.control.with(|control| control.revision);
        self.metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.metrics
            .peers
            .set(self.membership.live_peer_count() as i64);
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

    async fn publish(&self, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
        let account = request.extensions().get::<ClientAccount>().cloned();
        let account = account.unwrap_or_else(|| self.client_memory.account());
        let reading = read_request_body(request.into_body(), MAX_INVENTORY_BYTES, &account);
        let bytes = reading.await.map_err(|error| match error {
            BodyError::NoRoom => Failure::new(Kind::Overloaded, "no memory for the inventory now"),
            BodyError::Broken | BodyError::TooLong => {
                Failure::new(Kind::TooLarge, "inventory too large or incomplete")
            }
        })?;
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
        let in_force = self.control.with(|control| control.revision);
        let base = publication.base.unwrap_or(in_force);
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

    /// Responds with the orders that the publication would lead to and the artifacts for which
    /// no runner has room.
    fn forecast(&self, publication: Publication) -> Response<Body> {
        let (revision, dry_run) = self.control.with(|control| {
            let dry_run = DryRun::new(control, publication.inventory);
            (control.revision, dry_run)
        });
        let forecast = dry_run.run(|name| {
            // A runner that the publication adds is assumed to be up.
            let runner = self.fleet.runner(name);
            runner.is_none_or(|runner| runner.is_up()) && !self.membership.is_server_leaving(name)
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

    /// Starts from an empty state if neither this VM nor a peer knows the state in force.
    async fn start_anew(&self) -> Result<(), Failure> {
        if self.control.has_usable_state() || self.membership.most_advanced_peer(0).is_some() {
            let message = "the configuration in force is known; publish without `start_anew`";
            return Err(Failure::new(Kind::Conflict, message));
        }
        let unavailable = |_| {
            let message = "the log does not accept the publication at present";
            Failure::new(Kind::LogUnavailable, message)
        };
        self.control.start_anew().await.map_err(unavailable)?;
        let until_ready = async {
            loop {
                let changed = self.control.changed();
                if self.control.is_ready() {
                    return;
                }
                changed.await;
            }
        };
        let waited = compio::time::timeout(PUBLISH_TIMEOUT, until_ready).await;
        waited.map_err(|_elapsed| Failure::new(Kind::LogUnavailable, "the log cannot be read"))
    }

    /// The command that records a publication.
    ///
    /// It carries only the changes if the base is the revision in force on this VM, and the whole
    /// inventory otherwise.
    fn command(&self, base: u64, inventory: Inventory) -> Command {
        let change = self.control.with(|control| {
            let is_base_in_force = control.revision == base && base > 0;
            is_base_in_force.then(|| InventoryChange::between(&control.inventory, &inventory))?
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

    /// Appends a publication to the log and waits for its verdict.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::LogUnavailable`] if the publication was not recorded and will not be,
    /// and with [`Kind::OutcomeUnknown`] if it may have been or may yet be recorded.
    async fn record(&self, command: Command) -> Result<Recorded<Verdict>, Failure> {
        let deadline = Instant::now() + QUEUE_TIMEOUT;
        let proposed = self.control.propose_by(command, deadline);
        match compio::time::timeout(PUBLISH_TIMEOUT, proposed).await {
            Ok(Ok(recorded)) => Ok(recorded),
            Ok(Err(ProposeError::NotRecorded)) => Err(Failure::new(
                Kind::LogUnavailable,
                "the log does not accept the publication at present; it was not recorded and will \
                 not be",
            )),
            Ok(Err(ProposeError::VerdictLost)) | Err(_) => Err(Failure::new(
                Kind::OutcomeUnknown,
                "the log has not confirmed the publication; it may be in force or come into force \
                 later: check `status` before publishing again",
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
            let last_heard = peer.last_heard.as_ref();
            json!({
                "name": name,
                "availability_zone": last_heard.map(|(_, heartbeat)| &heartbeat.availability_zone),
                "alive": self.membership.is_alive(&name),
                "leaving": peer.listed_leaving
                    || last_heard.is_some_and(|(_, heartbeat)| heartbeat.leaving),
                "revision": last_heard.map(|(_, heartbeat)| heartbeat.revision),
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
                        "room_mib": server.weights_capacity_mib(),
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
                    let runners: Vec<&Name> = control
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
                    json!({"name": model.name, "version": model.version, "resident_on": runners})
                })
                .collect()
        })
    }
}

/// Responds with this VM's recent decisions about the subject of the query, `about=SUBJECT`.
fn explain(query: &str) -> Response<Body> {
    let subject = query.strip_prefix("about=").unwrap_or_default();
    let decisions: Vec<Value> = recent_decisions::about(subject)
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
        &json!({"about": subject, "decisions": decisions}),
    )
}

/// The response to a publication whose base is not the revision in force.
fn conflict(base: u64, revision: u64) -> Response<Body> {
    let message = format!(
        "the change was made from revision {base}, but revision {revision} is in force; check \
         it and publish again"
    );
    let failure = Failure::new(Kind::Conflict, message);
    let mut body = failure.to_json();
    body["error"]["base"] = json!(base);
    body["error"]["revision"] = json!(revision);
    json_response(StatusCode::CONFLICT, &body)
}
