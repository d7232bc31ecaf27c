//! Forwards requests to other VMs while this VM reaches no backend server, and takes those that other
//! VMs forward.

use crate::gateway::call::Call;
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::forwarding::{DeclineReason, ForwardState};
use crate::gateway::relay::Relay;
use crate::gateway::{CallerRequest, Protocol, SendOptions};
use crate::http::{Body, discard_body};
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// How long the body of a declined request may take to arrive.
const DECLINED_BODY_LIMIT: Duration = Duration::from_secs(2);

impl<P: Protocol> Relay<P> {
    /// Answers one request that another VM forwards, or declines it at once.
    pub(crate) async fn handle_forwarded(
        self: Rc<Self>,
        mut incoming: Request<Incoming>,
    ) -> Response<Body> {
        let Some(state) = ForwardState::take(incoming.headers_mut()) else {
            warn!("forwarded request unreadable");
            return P::refuse(Failure::Malformed("no forward state").refusal(Duration::ZERO));
        };
        if let Some(reason) = self.decline_reason(&state) {
            info!(peer = %state.sender, reason = reason.name(), "forwarded request declined");
            self.state.metrics.note_forwarded("declined");
            let (head, body) = incoming.into_parts();
            discard_body(body, DECLINED_BODY_LIMIT, head.extensions.get());
            return reason.response();
        }
        self.state.metrics.note_forwarded("accepted");
        let forwarded = self.forward_slots.take(state);
        self.handle_request(incoming, Some(forwarded)).await
    }

    /// Why this VM cannot take a forwarded request now; `None` if it can.
    fn decline_reason(&self, forwarded: &ForwardState) -> Option<DeclineReason> {
        let version = self.state.configuration().map_or(0, |it| it.version);
        if self.state.is_cut_off() {
            Some(DeclineReason::CutOff)
        } else if !self.state.accepts_forwarded() || version < forwarded.configuration_version {
            Some(DeclineReason::Unready)
        } else if self.forward_slots.is_full() {
            Some(DeclineReason::Full)
        } else {
            None
        }
    }

    /// Selects the server to send to, or another VM while this one reaches no server.
    pub(super) async fn upstream_for(&self, call: &mut Call) -> Result<Rc<Server>, Failure> {
        if !self.state.is_cut_off() {
            self.bind_version(call).await?;
            return self.server_for(call).await;
        }
        let target = match call.forwarded {
            // A forwarded request is not forwarded again.
            Some(_) => None,
            None => self.forward_targets.pick(&self.state, &call.forwarded_to),
        };
        let Some(vm) = target else {
            let is_unsent = !call.has_arrived();
            return Err(if is_unsent {
                Failure::CutOff
            } else {
                self.final_failure(call)
            });
        };
        call.forwarded_to.push(vm.address);
        if !call.has_arrived() {
            // The other VM counts the request towards quotas and the retry budget.
            call.grant = None;
            self.budget.forget_request(&call.service, call.arrived);
        }
        info!(request = %call.request.id, vm = %vm.address, runs = call.runs, "request forwarded");
        self.state.metrics.note_forwarded("sent");
        Ok(vm)
    }

    /// What this VM states of a request that it forwards.
    pub(super) fn forward_state(&self, call: &Call, options: &SendOptions<'_>) -> ForwardState {
        ForwardState {
            sender: self.state.settings.peer_address,
            runs: call.runs,
            is_retry: call.has_arrived(),
            configuration_version: self.state.configuration().map_or(0, |it| it.version),
            weights_version: options.weights_version,
        }
    }
}

/// Builds the request to another VM.
pub(super) fn forward_request<P: Protocol>(
    request: &CallerRequest,
    state: &ForwardState,
    options: &SendOptions<'_>,
) -> Request<Body> {
    let mut request = P::to_vm(request, options.time_left, options.last_event);
    state.insert(request.headers_mut());
    request
}
