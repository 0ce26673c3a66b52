//! The cache servers and the origin, with the faults that affect them: the part of the model that both drivers run. The
//! current time is an argument; the driver schedules later events on request.

use super::origin::{Origin, StartedFetch};
use super::server::{Job, Server, ServerAction, ServerResponse};
use super::{micros, Micros};
use crate::draw::{self, Stream};
use crate::experiment::{FaultKind, ScheduledFault};
use crate::plan::{Plan, WEIGHT_UPDATE_INTERVAL};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use walkpick::{Availability, LoadReport, ServerEntry, ServerId, Timestamp};

/// An event that a driver returns to the fleet at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScheduledEvent {
    /// The timer of a server fires.
    ServerTimer {
        /// Index of the server.
        server: usize,
        /// The incarnation that set the timer.
        incarnation: u32,
        /// Identifies the timer.
        timer_id: u64,
    },
    /// The origin completes a fetch or a write.
    OriginCompletes {
        /// Index of the server that requested it.
        server: usize,
        /// The incarnation that requested it.
        incarnation: u32,
        /// The job that it is for.
        job: u64,
    },
    /// New weights are published.
    WeightUpdate,
    /// A scheduled fault begins, reaches its next step or ends.
    Fault {
        /// Index on the schedule.
        fault: usize,
        /// False where it ends.
        begins: bool,
        /// Number of the step.
        step: usize,
    },
}

/// An output of the fleet, for the driver to act on.
#[derive(Clone, Debug)]
pub enum FleetOutput {
    /// Return this event to the fleet at this time.
    Schedule(Micros, ScheduledEvent),
    /// A server responds to an attempt.
    Respond {
        /// Index of the server.
        server: usize,
        /// The attempt.
        job: u64,
        /// The response.
        response: ServerResponse,
    },
    /// A server starts an attempt: the request may have been executed from here on.
    Started(u64),
    /// A server crashed from overload while cold.
    ColdCrash {
        /// Index of the server.
        server: usize,
        /// Share of the work from nodes that had been notified of its start.
        notified_share: f64,
    },
    /// Discovery publishes changed entries.
    Publish(Arc<[ServerEntry]>),
    /// Some servers became unreachable, as `Machine::unresponsive` and `Machine::availability` show.
    ReachabilityChanged,
    /// These servers restarted: their earlier connections are closed.
    Restarted(Vec<usize>),
    /// A fault that affects nodes, links or discovery.
    ExternalFault {
        /// Index on the schedule.
        fault: usize,
        /// False where it ends.
        begins: bool,
        /// Number of the step.
        step: usize,
    },
}

/// The machine of a cache server.
#[derive(Debug)]
pub struct Machine {
    /// Name of the server.
    pub id: ServerId,
    /// Index of its zone.
    pub zone: usize,
    /// Its process.
    pub server: Server,
    /// Incremented when the process is silenced or restarted; events of earlier incarnations are ignored.
    pub incarnation: u32,
    /// Whether a fault suppresses all its responses.
    pub silent: bool,
    /// Its actual availability, of which discovery notifies nodes later.
    pub availability: Availability,
    /// Its entry as discovery publishes it.
    pub entry: ServerEntry,
    /// The active error faults: the affected class (all where `None`) and the share of requests that fail.
    error_faults: Vec<(Option<usize>, f64)>,
    /// The active truncation faults: the share of responses that break off.
    truncation_faults: Vec<f64>,
}

impl Machine {
    /// Whether it does not respond, from a fault or a crash.
    pub fn unresponsive(&self) -> bool {
        self.silent || self.server.crashed()
    }
}

/// An attempt as it arrives at a server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Identifies the attempt.
    pub job: u64,
    /// Index of the client's request.
    pub request: usize,
    /// Identifies the attempt in random draws.
    pub draw_id: u64,
    /// Whether it came on a new connection.
    pub new_connection: bool,
    /// Whether its node had been notified of this start of the server.
    pub notified: bool,
}

/// All servers and the origin.
#[derive(Debug)]
pub struct Fleet {
    plan: Rc<Plan>,
    /// Reading of the nodes' clocks at the start of the run.
    epoch: Micros,
    /// All servers, including removed ones.
    pub machines: Vec<Machine>,
    by_id: HashMap<ServerId, usize>,
    /// The origin.
    pub origin: Origin,
}

impl Fleet {
    /// The fleet of a plan. `epoch`: reading of the nodes' clocks at the start of the run.
    pub fn new(plan: Rc<Plan>, epoch: Micros) -> Self {
        let origin = Origin::new(plan.origin, draw::stream(plan.seed, Stream::Origin));
        let servers = plan.experiment.deployment.servers as usize;
        let mut fleet = Self { plan, epoch, machines: Vec::new(), by_id: HashMap::new(), origin };
        for i in 0..servers {
            fleet.add(i % fleet.plan.zones.len(), None);
        }
        fleet
    }

    /// Sets the reading of the nodes' clocks at the start of the run.
    pub fn set_epoch(&mut self, epoch: Micros) {
        self.epoch = epoch;
    }

    /// Events to schedule at the start of the run. `faults`: whether the scheduled faults are among them.
    pub fn initial_events(&self, faults: bool) -> Vec<(Micros, ScheduledEvent)> {
        let mut events = vec![(WEIGHT_UPDATE_INTERVAL, ScheduledEvent::WeightUpdate)];
        for (fault, scheduled) in self.plan.experiment.fault.iter().enumerate().filter(|_| faults) {
            let (from, to) =
                (self.plan.lead() + micros(scheduled.from), self.plan.lead() + micros(scheduled.to));
            events.push((from, ScheduledEvent::Fault { fault, begins: true, step: 0 }));
            events.push((to, ScheduledEvent::Fault { fault, begins: false, step: 0 }));
        }
        events
    }

    /// The index of a server.
    pub fn index_of(&self, id: &ServerId) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// The entries of all servers that have not been removed.
    pub fn entries(&self) -> Vec<ServerEntry> {
        let present = self.machines.iter().filter(|machine| machine.availability != Availability::Removed);
        present.map(|machine| machine.entry.clone()).collect()
    }

    fn add(&mut self, zone: usize, started: Option<Micros>) -> usize {
        let i = self.machines.len();
        let (name, config) = self.plan.server_config(i);
        let id = ServerId::from(name.as_str());
        let entry = ServerEntry {
            zone: Some(self.plan.zones[zone].clone()),
            kind: Some("std".into()),
            started: started.map(|at| Timestamp::from_micros(self.epoch + at)),
            ..ServerEntry::new(&name)
        };
        self.by_id.insert(id.clone(), i);
        self.machines.push(Machine {
            id,
            zone,
            server: Server::new(config, started),
            incarnation: 0,
            silent: false,
            availability: Availability::Ready,
            error_faults: Vec::new(),
            truncation_faults: Vec::new(),
            entry,
        });
        i
    }

    /// A complete attempt arrives at a server. An unresponsive one drops it.
    pub fn receive(&mut self, now: Micros, server: usize, arrival: Arrival, out: &mut Vec<FleetOutput>) {
        let machine = &mut self.machines[server];
        let job = arrival.job;
        if machine.unresponsive() {
            return;
        }
        if machine.availability != Availability::Ready {
            return out.push(FleetOutput::Respond { server, job, response: ServerResponse::QueueFull });
        }
        let request = &self.plan.requests[arrival.request];
        let affected = |class: Option<usize>| class.is_none_or(|class| class == request.class);
        let fails = machine
            .error_faults
            .iter()
            .any(|(class, share)| affected(*class) && self.plan.errs(arrival.draw_id, *share));
        let job = Job {
            id: job,
            key: request.key,
            work_us: request.work_us,
            write: self.plan.classes[request.class].write,
            new_connection: arrival.new_connection,
            fails,
            notified: arrival.notified,
        };
        let mut actions = Vec::new();
        machine.server.receive(now, job, &mut actions);
        self.carry_out(now, server, actions, out);
    }

    fn carry_out(
        &mut self,
        now: Micros,
        server: usize,
        actions: Vec<ServerAction>,
        out: &mut Vec<FleetOutput>,
    ) {
        let incarnation = self.machines[server].incarnation;
        for action in actions {
            match action {
                ServerAction::Respond { job, response } => {
                    let truncated = self.machines[server]
                        .truncation_faults
                        .iter()
                        .any(|share| self.plan.truncates(job, *share));
                    let served = matches!(response, ServerResponse::Hit | ServerResponse::Miss);
                    let response = if served && truncated { ServerResponse::Truncated } else { response };
                    out.push(FleetOutput::Respond { server, job, response });
                }
                ServerAction::Start(job) => out.push(FleetOutput::Started(job)),
                ServerAction::Fetch { job } => {
                    let mut started = Vec::new();
                    self.origin.request(now, (server as u64) << 40 | job, &mut started);
                    self.schedule_completions(started, out);
                }
                ServerAction::Invalidate(key) => {
                    self.machines.iter_mut().for_each(|machine| machine.server.invalidate(key))
                }
                ServerAction::SetTimer { at, timer_id } => {
                    out.push(FleetOutput::Schedule(
                        at,
                        ScheduledEvent::ServerTimer { server, incarnation, timer_id },
                    ));
                }
                ServerAction::Crash { notified_share } => {
                    out.push(FleetOutput::ColdCrash { server, notified_share })
                }
            }
        }
    }

    fn schedule_completions(&self, started: Vec<StartedFetch>, out: &mut Vec<FleetOutput>) {
        for StartedFetch { fetch, ends_at } in started {
            let (server, job) = ((fetch >> 40) as usize, fetch & ((1 << 40) - 1));
            let incarnation = self.machines[server].incarnation;
            out.push(FleetOutput::Schedule(
                ends_at,
                ScheduledEvent::OriginCompletes { server, incarnation, job },
            ));
        }
    }

    /// A server's load as a response carries it; empty where the deployment has no reports.
    pub fn load_report(&mut self, now: Micros, server: usize, job: u64) -> LoadReport {
        if !self.plan.experiment.deployment.reports {
            return LoadReport::default();
        }
        let noise = draw::unit(self.plan.seed, Stream::Errors, job ^ 1 << 52);
        self.machines[server].server.load_report(now, noise)
    }

    /// Sends a probe to a server. Returns whether it succeeds, or `None` where there is no answer.
    pub fn probe(&mut self, now: Micros, server: usize, out: &mut Vec<FleetOutput>) -> Option<bool> {
        let machine = &mut self.machines[server];
        if machine.unresponsive() {
            return None;
        }
        let mut actions = Vec::new();
        let succeeded =
            machine.server.probe(now, &mut actions) && machine.availability == Availability::Ready;
        self.carry_out(now, server, actions, out);
        Some(succeeded)
    }

    /// Handles a scheduled event at its time.
    pub fn handle(&mut self, now: Micros, event: ScheduledEvent, out: &mut Vec<FleetOutput>) {
        match event {
            ScheduledEvent::ServerTimer { server, incarnation, timer_id } => {
                if self.machines[server].incarnation == incarnation && !self.machines[server].silent {
                    let mut actions = Vec::new();
                    self.machines[server].server.on_timer(now, timer_id, &mut actions);
                    self.carry_out(now, server, actions, out);
                }
            }
            ScheduledEvent::OriginCompletes { server, incarnation, job } => {
                let mut started = Vec::new();
                let succeeded = self.origin.complete(now, &mut started);
                self.schedule_completions(started, out);
                let machine = &mut self.machines[server];
                if machine.incarnation == incarnation && !machine.silent {
                    let mut actions = Vec::new();
                    machine.server.complete_fetch(now, job, succeeded, &mut actions);
                    self.carry_out(now, server, actions, out);
                }
            }
            ScheduledEvent::WeightUpdate => self.update_weights(now, out),
            ScheduledEvent::Fault { fault, begins, step } => self.apply_fault(now, fault, begins, step, out),
        }
    }

    /// Publishes new weights, the same for all nodes: the nominal weight, divided by one plus the outstanding requests per
    /// core.
    fn update_weights(&mut self, now: Micros, out: &mut Vec<FleetOutput>) {
        let mut updated = Vec::new();
        for machine in &mut self.machines {
            if machine.availability == Availability::Ready {
                let per_core = machine.server.outstanding() as f64 / self.plan.experiment.deployment.cores;
                machine.entry.weight = 1.0 / (1.0 + per_core);
                updated.push(machine.entry.clone());
            }
        }
        out.push(FleetOutput::Publish(updated.into()));
        out.push(FleetOutput::Schedule(now + WEIGHT_UPDATE_INTERVAL, ScheduledEvent::WeightUpdate));
    }

    fn apply_fault(
        &mut self,
        now: Micros,
        fault: usize,
        begins: bool,
        step: usize,
        out: &mut Vec<FleetOutput>,
    ) {
        let plan = Rc::clone(&self.plan);
        let scheduled: &ScheduledFault = &plan.experiment.fault[fault];
        let servers = plan.experiment.deployment.servers as usize;
        let affected = || plan.affected(fault, servers, scheduled.part);
        match scheduled.what {
            FaultKind::ServerSlow => {
                for server in affected() {
                    let mut actions = Vec::new();
                    let factor = if begins { scheduled.size } else { 1.0 };
                    self.machines[server].server.set_slowdown(now, factor, &mut actions);
                    self.carry_out(now, server, actions, out);
                }
            }
            FaultKind::ServerErring => {
                let class = scheduled.class.as_ref();
                let class = class.and_then(|name| {
                    plan.classes.iter().position(|class| class.config.name.as_str() == name)
                });
                for server in affected() {
                    let error_faults = &mut self.machines[server].error_faults;
                    match begins {
                        true => error_faults.push((class, scheduled.size)),
                        false => error_faults.retain(|active| *active != (class, scheduled.size)),
                    }
                }
            }
            FaultKind::ServerSpoilt => {
                for server in affected() {
                    let truncation_faults = &mut self.machines[server].truncation_faults;
                    match begins {
                        true => truncation_faults.push(scheduled.size),
                        false => truncation_faults.retain(|share| *share != scheduled.size),
                    }
                }
            }
            FaultKind::ServerSilent => self.set_silent(now, affected(), begins, out),
            FaultKind::ZoneSilent => {
                let last = plan.zones.len() - 1;
                let affected = (0..servers).filter(|&i| self.machines[i].zone == last).collect();
                self.set_silent(now, affected, begins, out);
            }
            FaultKind::ServersReplaced if begins => self.replace_next(now, fault, step, out),
            FaultKind::ServersReplaced => {}
            FaultKind::OriginSilent => {
                let mut started = Vec::new();
                self.origin.set_silent(now, begins, &mut started);
                self.schedule_completions(started, out);
            }
            FaultKind::OriginErring => self.origin.set_error_share(if begins { scheduled.size } else { 0.0 }),
            FaultKind::OriginSlow => self.origin.set_slowdown(if begins { scheduled.size } else { 1.0 }),
            FaultKind::NodesRolled if begins => {
                out.push(FleetOutput::ExternalFault { fault, begins, step });
                let nodes =
                    plan.affected(fault, plan.experiment.deployment.nodes as usize, scheduled.part).len();
                if step + 1 < nodes {
                    let interval =
                        micros(scheduled.to).saturating_sub(micros(scheduled.from)) / nodes as Micros;
                    out.push(FleetOutput::Schedule(
                        now + interval.max(1),
                        ScheduledEvent::Fault { fault, begins, step: step + 1 },
                    ));
                }
            }
            FaultKind::Link if begins => {
                out.push(FleetOutput::ExternalFault { fault, begins, step });
                let end = plan.lead() + micros(scheduled.to);
                let flap = scheduled.link.as_ref().and_then(|link| link.flap).map(micros);
                if let Some(next) = flap.map(|flap| now + flap.max(1)).filter(|next| *next < end) {
                    out.push(FleetOutput::Schedule(
                        next,
                        ScheduledEvent::Fault { fault, begins, step: step + 1 },
                    ));
                }
            }
            _ => out.push(FleetOutput::ExternalFault { fault, begins, step }),
        }
    }

    /// Silences servers; when the fault ends they restart, cold.
    fn set_silent(&mut self, now: Micros, affected: Vec<usize>, begins: bool, out: &mut Vec<FleetOutput>) {
        let mut restarted = Vec::new();
        for &server in &affected {
            let machine = &mut self.machines[server];
            machine.silent = begins;
            machine.incarnation += 1;
            if !begins {
                machine.server = machine.server.restarted(now);
                machine.entry.started = Some(Timestamp::from_micros(self.epoch + now));
                restarted.push(machine.entry.clone());
            }
        }
        if begins {
            out.push(FleetOutput::ReachabilityChanged);
        } else if !affected.is_empty() {
            out.push(FleetOutput::Restarted(affected));
            out.push(FleetOutput::Publish(restarted.into()));
        }
    }

    /// Replaces the affected servers one after the other while the fault lasts. Each takes two steps: it drains, then it
    /// is removed and a new server takes its place.
    fn replace_next(&mut self, now: Micros, fault: usize, step: usize, out: &mut Vec<FleetOutput>) {
        let scheduled = &self.plan.experiment.fault[fault];
        let affected =
            self.plan.affected(fault, self.plan.experiment.deployment.servers as usize, scheduled.part);
        let Some(&server) = affected.get(step / 2) else { return };
        let duration = micros(scheduled.to).saturating_sub(micros(scheduled.from));
        let interval = duration / (2 * affected.len()).max(1) as Micros;
        let state = if step.is_multiple_of(2) { Availability::Draining } else { Availability::Removed };
        let machine = &mut self.machines[server];
        (machine.availability, machine.entry.availability) = (state, state);
        let (zone, mut changed) = (machine.zone, vec![machine.entry.clone()]);
        if state == Availability::Removed {
            out.push(FleetOutput::ReachabilityChanged);
            let new = self.add(zone, Some(now));
            changed.push(self.machines[new].entry.clone());
        }
        out.push(FleetOutput::Publish(changed.into()));
        out.push(FleetOutput::Schedule(
            now + interval.max(1),
            ScheduledEvent::Fault { fault, begins: true, step: step + 1 },
        ));
    }
}
