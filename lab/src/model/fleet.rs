//! The cache servers and the origin together, with the faults that meet them: the part of the outside world that both
//! drivers run. Time is an argument; what is to happen later is asked of the driver.

use super::origin::{Begun, Origin};
use super::server::{Does, Job, Said, Server};
use super::{micros, Micros};
use crate::draw::{self, Stream};
use crate::experiment::{Trouble, What};
use crate::plan::{Plan, WEIGHTS_EVERY};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use walkpick::{Availability, LoadReport, ServerEntry, ServerId, Timestamp};

/// What a driver has to bring back at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A server wants to be called.
    ServerWakes {
        /// Its place.
        server: usize,
        /// In which of its lives.
        life: u32,
        /// Its own number for the call.
        turn: u64,
    },
    /// The origin ends a work.
    OriginEnds {
        /// The server that asked.
        server: usize,
        /// In which of its lives.
        life: u32,
        /// For which job.
        job: u64,
    },
    /// Weights are told anew.
    Weights,
    /// A fault of the schedule begins, goes on to its next step or ends.
    Fault {
        /// Its place.
        trouble: usize,
        /// Whether it begins.
        begins: bool,
        /// How far it is.
        step: usize,
    },
}

/// What comes of something for the driver.
#[derive(Clone, Debug)]
pub enum Out {
    /// Bring this back then.
    Later(Micros, Due),
    /// A server answers a job.
    Says {
        /// Its place.
        server: usize,
        /// The job.
        job: u64,
        /// What.
        said: Said,
    },
    /// A job may have run from here on.
    Runs(u64),
    /// A cold server was sent more than it could bear; this part of the work came from nodes that knew of its start.
    Falls {
        /// Its place.
        server: usize,
        /// The part.
        told: f64,
    },
    /// Discovery has a change to tell.
    Tells(Arc<[ServerEntry]>),
    /// Some server cannot be reached any more, as its machine says.
    Reach,
    /// Servers are back as new processes: connections of before are gone.
    Back(Vec<usize>),
    /// A fault that meets nodes, links or discovery.
    Other {
        /// Its place on the schedule.
        trouble: usize,
        /// Whether it begins.
        begins: bool,
        /// How far it is.
        step: usize,
    },
}

/// One cache server's machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: ServerId,
    /// Place of its zone.
    pub zone: usize,
    /// Its process.
    pub server: Server,
    /// Counts its processes.
    pub life: u32,
    /// Whether it says nothing.
    pub silent: bool,
    /// What discovery would say of it now.
    pub availability: Availability,
    /// As discovery tells of it.
    pub entry: ServerEntry,
    erring: Vec<(Option<usize>, f64)>,
    /// Parts of its answers that break off, one for each fault that is on.
    breaking: Vec<f64>,
}

impl Machine {
    /// Whether it says nothing, for whichever reason.
    pub fn mute(&self) -> bool {
        self.silent || self.server.fallen()
    }
}

/// An attempt as it comes to a server.
#[derive(Clone, Copy, Debug)]
pub struct Come {
    /// Its number.
    pub job: u64,
    /// Place of its request.
    pub ask: usize,
    /// What its own draws are named by.
    pub name: u64,
    /// Whether its connection is new.
    pub fresh: bool,
    /// Whether its node had been told of this start of the server's.
    pub told: bool,
}

/// All servers and the origin.
#[derive(Debug)]
pub struct Fleet {
    plan: Rc<Plan>,
    /// The nodes' clocks at the start of the run.
    epoch: Micros,
    /// All that there ever were.
    pub machines: Vec<Machine>,
    by_id: HashMap<ServerId, usize>,
    /// The origin.
    pub origin: Origin,
}

impl Fleet {
    /// As the plan has it; nodes' clocks read `epoch` at the start.
    pub fn new(plan: Rc<Plan>, epoch: Micros) -> Self {
        let origin = Origin::new(plan.origin, draw::stream(plan.seed, Stream::Origin));
        let servers = plan.experiment.deployment.servers as usize;
        let mut fleet = Self { plan, epoch, machines: Vec::new(), by_id: HashMap::new(), origin };
        for i in 0..servers {
            fleet.add(i % fleet.plan.zones.len(), None);
        }
        fleet
    }

    /// The run begins now, at this time of the nodes' clocks.
    pub fn begin(&mut self, epoch: Micros) {
        self.epoch = epoch;
    }

    /// What is due without anybody's doing.
    pub fn schedule(&self, faults: bool) -> Vec<(Micros, Due)> {
        let mut due = vec![(WEIGHTS_EVERY, Due::Weights)];
        for (trouble, fault) in self.plan.experiment.fault.iter().enumerate().filter(|_| faults) {
            let (from, to) = (self.plan.lead() + micros(fault.from), self.plan.lead() + micros(fault.to));
            due.push((from, Due::Fault { trouble, begins: true, step: 0 }));
            due.push((to, Due::Fault { trouble, begins: false, step: 0 }));
        }
        due
    }

    /// The place of a server.
    pub fn place(&self, id: &ServerId) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// All servers that are not gone, as discovery lists them.
    pub fn entries(&self) -> Vec<ServerEntry> {
        let there = self.machines.iter().filter(|machine| machine.availability != Availability::Removed);
        there.map(|machine| machine.entry.clone()).collect()
    }

    fn add(&mut self, zone: usize, started: Option<Micros>) -> usize {
        let i = self.machines.len();
        let (name, parts) = self.plan.server(i);
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
            server: Server::new(parts, started),
            life: 0,
            silent: false,
            availability: Availability::Ready,
            erring: Vec::new(),
            breaking: Vec::new(),
            entry,
        });
        i
    }

    /// An attempt has come whole to a server. One that is mute takes it in and says nothing.
    pub fn take(&mut self, now: Micros, server: usize, come: Come, out: &mut Vec<Out>) {
        let machine = &mut self.machines[server];
        let job = come.job;
        if machine.mute() {
            return;
        }
        if machine.availability != Availability::Ready {
            return out.push(Out::Says { server, job, said: Said::Full });
        }
        let ask = &self.plan.asks[come.ask];
        let met = |kind: Option<usize>| kind.is_none_or(|kind| kind == ask.kind);
        let spoilt = machine.erring.iter().any(|(kind, part)| met(*kind) && self.plan.errs(come.name, *part));
        let job = Job {
            id: job,
            key: ask.key,
            work_us: ask.work_us,
            write: self.plan.kinds[ask.kind].write,
            fresh: come.fresh,
            spoilt,
            told: come.told,
        };
        let mut does = Vec::new();
        machine.server.take(now, job, &mut does);
        self.carry_out(now, server, does, out);
    }

    fn carry_out(&mut self, now: Micros, server: usize, does: Vec<Does>, out: &mut Vec<Out>) {
        let life = self.machines[server].life;
        for does in does {
            match does {
                Does::Says { job, said } => {
                    let breaks =
                        self.machines[server].breaking.iter().any(|part| self.plan.breaks(job, *part));
                    let served = matches!(said, Said::Hit | Said::Miss);
                    let said = if served && breaks { Said::Broken } else { said };
                    out.push(Out::Says { server, job, said });
                }
                Does::Runs(job) => out.push(Out::Runs(job)),
                Does::Asks { job } => {
                    let mut begun = Vec::new();
                    self.origin.ask(now, (server as u64) << 40 | job, &mut begun);
                    self.begins(begun, out);
                }
                Does::Voids(key) => self.machines.iter_mut().for_each(|machine| machine.server.void(key)),
                Does::Wakes { at, turn } => {
                    out.push(Out::Later(at, Due::ServerWakes { server, life, turn }));
                }
                Does::Falls { told } => out.push(Out::Falls { server, told }),
            }
        }
    }

    fn begins(&self, begun: Vec<Begun>, out: &mut Vec<Out>) {
        for Begun { fetch, at } in begun {
            let (server, job) = ((fetch >> 40) as usize, fetch & ((1 << 40) - 1));
            let life = self.machines[server].life;
            out.push(Out::Later(at, Due::OriginEnds { server, life, job }));
        }
    }

    /// A server's load as an answer carries it, where the deployment has reports.
    pub fn report(&mut self, now: Micros, server: usize, job: u64) -> LoadReport {
        if !self.plan.experiment.deployment.reports {
            return LoadReport::default();
        }
        let noise = draw::unit(self.plan.seed, Stream::Errors, job ^ 1 << 52);
        self.machines[server].server.report(now, noise)
    }

    /// A probe comes to a server; whether it is answered, and well.
    pub fn probed(&mut self, now: Micros, server: usize, out: &mut Vec<Out>) -> Option<bool> {
        let machine = &mut self.machines[server];
        if machine.mute() {
            return None;
        }
        let mut does = Vec::new();
        let taken = machine.server.probed(now, &mut does) && machine.availability == Availability::Ready;
        self.carry_out(now, server, does, out);
        Some(taken)
    }

    /// What was asked for is due.
    pub fn due(&mut self, now: Micros, due: Due, out: &mut Vec<Out>) {
        match due {
            Due::ServerWakes { server, life, turn } => {
                if self.machines[server].life == life && !self.machines[server].silent {
                    let mut does = Vec::new();
                    self.machines[server].server.wakes(now, turn, &mut does);
                    self.carry_out(now, server, does, out);
                }
            }
            Due::OriginEnds { server, life, job } => {
                let mut begun = Vec::new();
                let done = self.origin.end(now, &mut begun);
                self.begins(begun, out);
                let machine = &mut self.machines[server];
                if machine.life == life && !machine.silent {
                    let mut does = Vec::new();
                    machine.server.fetched(now, job, done, &mut does);
                    self.carry_out(now, server, does, out);
                }
            }
            Due::Weights => self.renew_weights(now, out),
            Due::Fault { trouble, begins, step } => self.fault(now, trouble, begins, step, out),
        }
    }

    /// Live weights: the nominal size, lowered the more a server holds; the same for all nodes.
    fn renew_weights(&mut self, now: Micros, out: &mut Vec<Out>) {
        let mut renewed = Vec::new();
        for machine in &mut self.machines {
            if machine.availability == Availability::Ready {
                let held = machine.server.held() as f64 / self.plan.experiment.deployment.cores;
                machine.entry.weight = 1.0 / (1.0 + held);
                renewed.push(machine.entry.clone());
            }
        }
        out.push(Out::Tells(renewed.into()));
        out.push(Out::Later(now + WEIGHTS_EVERY, Due::Weights));
    }

    fn fault(&mut self, now: Micros, trouble: usize, begins: bool, step: usize, out: &mut Vec<Out>) {
        let plan = Rc::clone(&self.plan);
        let fault: &Trouble = &plan.experiment.fault[trouble];
        let first = plan.experiment.deployment.servers as usize;
        let met = || plan.met(trouble, first, fault.part);
        match fault.what {
            What::ServerSlow => {
                for server in met() {
                    let mut does = Vec::new();
                    let times = if begins { fault.size } else { 1.0 };
                    self.machines[server].server.slow(now, times, &mut does);
                    self.carry_out(now, server, does, out);
                }
            }
            What::ServerErring => {
                let kind = fault.class.as_ref();
                let kind = kind.and_then(|c| plan.kinds.iter().position(|k| k.class.name.as_str() == c));
                for server in met() {
                    let erring = &mut self.machines[server].erring;
                    match begins {
                        true => erring.push((kind, fault.size)),
                        false => erring.retain(|one| *one != (kind, fault.size)),
                    }
                }
            }
            What::ServerSpoilt => {
                for server in met() {
                    let breaking = &mut self.machines[server].breaking;
                    match begins {
                        true => breaking.push(fault.size),
                        false => breaking.retain(|part| *part != fault.size),
                    }
                }
            }
            What::ServerSilent => self.silence(now, met(), begins, out),
            What::ZoneSilent => {
                let last = plan.zones.len() - 1;
                let met = (0..first).filter(|&i| self.machines[i].zone == last).collect();
                self.silence(now, met, begins, out);
            }
            What::ServersReplaced if begins => self.replace_next(now, trouble, step, out),
            What::ServersReplaced => {}
            What::OriginSilent => {
                let mut begun = Vec::new();
                self.origin.silence(now, begins, &mut begun);
                self.begins(begun, out);
            }
            What::OriginErring => self.origin.err(if begins { fault.size } else { 0.0 }),
            What::OriginSlow => self.origin.slow(if begins { fault.size } else { 1.0 }),
            What::NodesRolled if begins => {
                out.push(Out::Other { trouble, begins, step });
                let nodes = plan.met(trouble, plan.experiment.deployment.nodes as usize, fault.part).len();
                if step + 1 < nodes {
                    let pace = micros(fault.to).saturating_sub(micros(fault.from)) / nodes as Micros;
                    out.push(Out::Later(now + pace.max(1), Due::Fault { trouble, begins, step: step + 1 }));
                }
            }
            What::Link if begins => {
                out.push(Out::Other { trouble, begins, step });
                let end = plan.lead() + micros(fault.to);
                let flap = fault.link.as_ref().and_then(|link| link.flap).map(micros);
                if let Some(next) = flap.map(|flap| now + flap.max(1)).filter(|next| *next < end) {
                    out.push(Out::Later(next, Due::Fault { trouble, begins, step: step + 1 }));
                }
            }
            _ => out.push(Out::Other { trouble, begins, step }),
        }
    }

    fn silence(&mut self, now: Micros, met: Vec<usize>, begins: bool, out: &mut Vec<Out>) {
        let mut back = Vec::new();
        for &server in &met {
            let machine = &mut self.machines[server];
            machine.silent = begins;
            machine.life += 1;
            if !begins {
                machine.server = machine.server.restarted(now);
                machine.entry.started = Some(Timestamp::from_micros(self.epoch + now));
                back.push(machine.entry.clone());
            }
        }
        if begins {
            out.push(Out::Reach);
        } else if !met.is_empty() {
            out.push(Out::Back(met));
            out.push(Out::Tells(back.into()));
        }
    }

    /// Drains one server, replaces it by a new one, and goes on to the next while the fault lasts. Each takes two
    /// steps: draining, then gone with a new one in its place.
    fn replace_next(&mut self, now: Micros, trouble: usize, step: usize, out: &mut Vec<Out>) {
        let fault = &self.plan.experiment.fault[trouble];
        let met = self.plan.met(trouble, self.plan.experiment.deployment.servers as usize, fault.part);
        let Some(&server) = met.get(step / 2) else { return };
        let span = micros(fault.to).saturating_sub(micros(fault.from));
        let pace = span / (2 * met.len()).max(1) as Micros;
        let state = if step.is_multiple_of(2) { Availability::Draining } else { Availability::Removed };
        let machine = &mut self.machines[server];
        (machine.availability, machine.entry.availability) = (state, state);
        let (zone, mut changed) = (machine.zone, vec![machine.entry.clone()]);
        if state == Availability::Removed {
            out.push(Out::Reach);
            let new = self.add(zone, Some(now));
            changed.push(self.machines[new].entry.clone());
        }
        out.push(Out::Tells(changed.into()));
        out.push(Out::Later(now + pace.max(1), Due::Fault { trouble, begins: true, step: step + 1 }));
    }
}
