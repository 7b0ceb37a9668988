//! Everything that takes part in a run, and how faults are applied to it.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use carawayseam_platform_standins::documents::server_key;
use carawayseam_platform_standins::{Cut, LinkTargets, Store, StoreFault};
use carawayseam_testbed::Link;
use carawayseam_types::Millis;
use eyre::WrapErr;
use rustix::process::Signal;
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::disturbances::Scope;
use crate::gateway::Gateway;
use crate::operator::{BACKEND, Operator, step_backend};
use crate::recorder::Recorder;
use crate::schedule::{Entry, Fault, Misbehaviour, Quality, Size};
use crate::servers::{Identity, Server};

/// A server that leaves serves for so long after it said so.
const LEAVES_AFTER: Duration = Duration::from_millis(3_500);
/// How long a move may take, in seconds.
const MOVE_WITHIN_S: u32 = 8;
const MOVE_POLL: Duration = Duration::from_millis(100);
/// How long the store is unavailable before it is restored from a copy.
const RESTORE_TIME: Duration = Duration::from_millis(400);
/// After this time, operator and servers have written again what the copy lacks.
const WRITTEN_AGAIN: Duration = Duration::from_millis(600);
/// A started gateway wants callers by then, unless the store is away.
const READY_LIMIT: Duration = Duration::from_secs(12);
const FIRST_VERSION: &str = "v1";

/// Everything that takes part in a run.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) recorder: Recorder,
    pub(crate) gateways: Vec<Arc<Gateway>>,
    store: Store,
    /// The servers of the movable backend, by slot.
    servers: Mutex<Vec<Arc<Server>>>,
    /// The servers of the steps route.
    steps: Mutex<Vec<Arc<Server>>>,
    operator: Mutex<Operator>,
    numbers: AtomicUsize,
}

impl World {
    /// Starts the store, servers and gateways, and waits until these are ready.
    pub(crate) async fn start(
        program: &Path,
        dir: &Path,
        size: Size,
        keys: &[String],
        recorder: Recorder,
    ) -> eyre::Result<Arc<Self>> {
        let store = Store::start().await;
        let (mut gateways, targets) = (Vec::new(), LinkTargets::default());
        for number in 0..size.gateways {
            let gateway = Gateway::start(program, dir, number, &store, &targets).await?;
            gateways.push(Arc::new(gateway));
        }
        let world = Self {
            recorder,
            gateways,
            servers: Mutex::default(),
            steps: Mutex::default(),
            operator: Mutex::new(Operator::new(store.clone(), keys)),
            store,
            numbers: AtomicUsize::new(0),
        };
        for _ in 0..size.servers {
            let server = world.start_server(FIRST_VERSION, false).await?;
            world.servers.lock().await.push(server);
        }
        world.start_step(0).await?;
        world.operator.lock().await.write();
        world.recorder.note(|now, ledger| ledger.configured(now));
        for gateway in &world.gateways {
            eyre::ensure!(
                gateway.wait_until_ready(READY_LIMIT).await,
                "a gateway is not ready"
            );
        }
        Ok(Arc::new(world))
    }

    async fn list(&self, identity: Identity) -> eyre::Result<Arc<Server>> {
        let server = Server::start(identity, self.recorder.clone())
            .await
            .wrap_err("cannot start a server")?;
        self.write_entry(&server, false);
        Ok(Arc::new(server))
    }

    fn write_entry(&self, server: &Server, leaving: bool) {
        let document = server.entry(leaving).document().to_string();
        self.store
            .put(&server_key(&server.identity.id()), document.as_bytes());
    }

    fn remove_entry(&self, server: &Server) {
        self.store.remove(&server_key(&server.identity.id()));
    }

    async fn start_server(&self, version: &str, is_bad: bool) -> eyre::Result<Arc<Server>> {
        let identity = Identity {
            number: self.numbers.fetch_add(1, Ordering::Relaxed),
            backend: BACKEND.to_owned(),
            version: version.to_owned(),
            step: None,
            is_bad,
        };
        self.list(identity).await
    }

    async fn start_step(&self, step: usize) -> eyre::Result<()> {
        let identity = Identity {
            number: self.numbers.fetch_add(1, Ordering::Relaxed),
            backend: step_backend(step),
            version: FIRST_VERSION.to_owned(),
            step: Some(step),
            is_bad: false,
        };
        let server = self.list(identity).await?;
        self.steps.lock().await.push(server);
        Ok(())
    }

    /// Lets a fault happen, and returns when it is over.
    pub(crate) async fn apply(&self, entry: Entry) -> eyre::Result<()> {
        let lasts = entry.lasts.to_duration();
        match entry.fault {
            Fault::Freeze(gateway) => self.freeze(gateway, lasts).await,
            Fault::Kill(gateway) => return self.kill(gateway, lasts).await,
            Fault::Stop(gateway) => return self.stop(gateway).await,
            Fault::Reload(gateway) => self.gateways[gateway].signal(Signal::HUP).await,
            Fault::StoreLink(gateway, link) => self.harm_store_link(gateway, link, lasts).await,
            Fault::PeerLink(gateway) => {
                let link = &self.gateways[gateway].peer_link;
                link.set_cut(true);
                sleep(lasts).await;
                link.set_cut(false);
            }
            Fault::HostCut { first, count, form } => self.cut_hosts(first, count, form, lasts).await,
            Fault::ServerLink(slot, link) => self.harm_server_link(slot, link, lasts).await,
            Fault::Store(fault) => self.harm_store(fault, lasts).await,
            Fault::Forget => self.store.compact_history(),
            Fault::Restore => self.restore_store(lasts).await,
            Fault::Lapse => self.store.expire_all_leases(),
            Fault::Crash(slot) => return self.crash(slot, lasts).await,
            Fault::Misbehave(slot, trouble) => self.misbehave(slot, trouble, lasts).await,
            Fault::Limit(slot) => self.limit(slot, lasts).await,
            Fault::Leave(slot) => return self.leave(slot).await,
            Fault::LeaveByWord(slot) => return self.leave_by_word(slot).await,
            Fault::Configure => return self.configure().await,
            Fault::Revoke => self.revoke().await,
            Fault::Move(quality) => return self.move_version(quality).await,
        }
        Ok(())
    }

    async fn freeze(&self, number: usize, lasts: Duration) {
        let _disturbed = self.recorder.disturb(Scope::Gateway(number));
        let gateway = &self.gateways[number];
        gateway.signal(Signal::STOP).await;
        sleep(lasts).await;
        gateway.signal(Signal::CONT).await;
    }

    async fn kill(&self, number: usize, lasts: Duration) -> eyre::Result<()> {
        let gateway = &self.gateways[number];
        // One that is being started anew is left to that.
        let Ok(restarting) = gateway.restarting.try_lock() else {
            return Ok(());
        };
        let _disturbed = self.recorder.disturb(Scope::Gateway(number));
        gateway.signal(Signal::KILL).await;
        gateway.wait().await?;
        sleep(lasts).await;
        gateway.spawn().await?;
        drop(restarting);
        gateway.wait_until_ready(READY_LIMIT).await;
        Ok(())
    }

    async fn stop(&self, number: usize) -> eyre::Result<()> {
        let gateway = &self.gateways[number];
        let Ok(restarting) = gateway.restarting.try_lock() else {
            return Ok(());
        };
        let _disturbed = self.recorder.disturb(Scope::PlannedStop(number));
        let asked = self.recorder.now();
        gateway.signal(Signal::TERM).await;
        let ended_well = gateway.wait().await.unwrap_or(false);
        self.recorder
            .judge(|_, ledger| ledger.stopped(asked, number, ended_well));
        gateway.signal(Signal::KILL).await;
        gateway.wait().await?;
        gateway.spawn().await?;
        drop(restarting);
        gateway.wait_until_ready(READY_LIMIT).await;
        Ok(())
    }

    async fn harm_store_link(&self, number: usize, link: Link, lasts: Duration) {
        let _disturbed = self.recorder.disturb(Scope::Gateway(number));
        let proxy = &self.gateways[number].store_link;
        proxy.set(Some(link));
        sleep(lasts).await;
        proxy.set(None);
    }

    /// Cuts gateways from all servers, while callers, store and peers reach them.
    async fn cut_hosts(&self, first: usize, count: usize, form: Cut, lasts: Duration) {
        let numbers: Vec<usize> = (first..first + count)
            .map(|ix| ix % self.gateways.len())
            .collect();
        let scopes = numbers.iter().map(|number| Scope::ServerLinks(*number));
        // No gateway reaches the servers when all are cut.
        let of_all = (count == self.gateways.len()).then_some(Scope::Servers);
        let scopes = scopes.chain(of_all);
        let _disturbed: Vec<_> = scopes.map(|scope| self.recorder.disturb(scope)).collect();
        for number in &numbers {
            self.gateways[*number].server_links.cut(form);
        }
        sleep(lasts).await;
        for number in &numbers {
            self.gateways[*number].server_links.restore();
        }
    }

    async fn slot(&self, slot: usize) -> Arc<Server> {
        Arc::clone(&self.servers.lock().await[slot])
    }

    async fn harm_server_link(&self, slot: usize, link: Link, lasts: Duration) {
        let _disturbed = self.recorder.disturb(Scope::Servers);
        let server = self.slot(slot).await;
        server.link.set(Some(link));
        sleep(lasts).await;
        server.link.set(None);
    }

    async fn harm_store(&self, fault: StoreFault, lasts: Duration) {
        let _disturbed = self.recorder.disturb(Scope::Store);
        self.set_store_fault(Some(fault));
        sleep(lasts).await;
        self.set_store_fault(None);
    }

    fn set_store_fault(&self, fault: Option<StoreFault>) {
        for gateway in &self.gateways {
            gateway.store.set_fault(fault);
        }
    }

    /// Lets the store lose what is written within `lasts`; operator and servers write theirs again.
    async fn restore_store(&self, lasts: Duration) {
        let copy = self.store.copy();
        sleep(lasts).await;
        let _disturbed = self.recorder.disturb(Scope::Store);
        self.set_store_fault(Some(StoreFault::Refuses));
        sleep(RESTORE_TIME).await;
        let lost = self.store.restore(copy);
        self.set_store_fault(None);
        sleep(WRITTEN_AGAIN).await;
        self.store.write_again(lost);
    }

    async fn crash(&self, slot: usize, lasts: Duration) -> eyre::Result<()> {
        let _disturbed = self.recorder.disturb(Scope::Servers);
        let server = self.slot(slot).await;
        server.stop();
        sleep(lasts).await;
        self.remove_entry(&server);
        self.replace(slot, &server).await
    }

    /// Puts a new server of the same version into a slot, unless another did.
    async fn replace(&self, slot: usize, old: &Arc<Server>) -> eyre::Result<()> {
        let identity = &old.identity;
        let new = self.start_server(&identity.version, identity.is_bad).await?;
        let mut servers = self.servers.lock().await;
        if Arc::ptr_eq(&servers[slot], old) {
            servers[slot] = new;
            return Ok(());
        }
        drop(servers);
        self.remove_entry(&new);
        new.stop();
        Ok(())
    }

    async fn misbehave(&self, slot: usize, trouble: Misbehaviour, lasts: Duration) {
        let _disturbed = self.recorder.disturb(Scope::Servers);
        let server = self.slot(slot).await;
        server.misbehave(Some(trouble));
        sleep(lasts).await;
        server.misbehave(None);
    }

    async fn limit(&self, slot: usize, lasts: Duration) {
        let _disturbed = self.recorder.disturb(Scope::Servers);
        let server = self.slot(slot).await;
        let number = server.identity.number;
        let tell = |is_limited| {
            self.recorder
                .note(|now, ledger| ledger.limit(now, number, is_limited));
        };
        tell(true);
        server.limit(true);
        sleep(lasts).await;
        server.limit(false);
        tell(false);
    }

    async fn leave(&self, slot: usize) -> eyre::Result<()> {
        let server = self.slot(slot).await;
        self.replace(slot, &server).await?;
        self.retire(&server).await;
        Ok(())
    }

    /// A server says only in its answers that it leaves, and ends later.
    async fn leave_by_word(&self, slot: usize) -> eyre::Result<()> {
        let server = self.slot(slot).await;
        self.replace(slot, &server).await?;
        server.say_leaving();
        sleep(LEAVES_AFTER).await;
        let _disturbed = self.recorder.disturb(Scope::Servers);
        self.remove_entry(&server);
        server.stop();
        Ok(())
    }

    /// Announces that a server leaves, and ends it later.
    async fn retire(&self, server: &Server) {
        self.write_entry(server, true);
        let number = server.identity.number;
        self.recorder.note(|now, ledger| ledger.leaving(now, number));
        sleep(LEAVES_AFTER).await;
        self.remove_entry(server);
        server.stop();
    }

    async fn configure(&self) -> eyre::Result<()> {
        let mut operator = self.operator.lock().await;
        let step = operator.step + 1;
        self.start_step(step).await?;
        operator.step = step;
        operator.write();
        self.recorder.note(|now, ledger| ledger.configured(now));
        Ok(())
    }

    async fn revoke(&self) {
        let key = self.operator.lock().await.take_key();
        if let Some(key) = key {
            self.recorder.note(|now, ledger| ledger.revoked(now, key));
        }
    }

    async fn move_version(&self, quality: Quality) -> eyre::Result<()> {
        if std::mem::replace(&mut self.operator.lock().await.moves, true) {
            return Ok(());
        }
        let is_bad = quality == Quality::Bad;
        let version = format!("v{}", self.numbers.fetch_add(1, Ordering::Relaxed) + 2);
        let slots = self.servers.lock().await.len();
        let mut new = Vec::new();
        for _ in 0..slots {
            new.push(self.start_server(&version, is_bad).await?);
        }
        let ordered = self.recorder.now();
        if is_bad {
            self.recorder.note(|_, ledger| ledger.exposure_begins());
        }
        self.operator.lock().await.order_move(&version, MOVE_WITHIN_S);
        let state = self.wait_for_move(&version, ordered).await;
        let wanted = if is_bad { "rolled_back" } else { "complete" };
        self.recorder
            .judge(|_, ledger| ledger.move_ended(ordered, wanted, &state));
        if state == "complete" {
            self.complete(new).await;
        } else {
            for server in &new {
                self.write_entry(server, true);
            }
            sleep(LEAVES_AFTER).await;
            self.end(&new);
        }
        self.operator.lock().await.moves = false;
        Ok(())
    }

    /// Waits for the move's end, or until its deadline has passed.
    async fn wait_for_move(&self, version: &str, ordered: Millis) -> String {
        let deadline = ordered + Millis::from_secs(u64::from(MOVE_WITHIN_S));
        loop {
            let state = self.operator.lock().await.move_state(version);
            if state != "running" || self.recorder.now() > deadline {
                return state;
            }
            sleep(MOVE_POLL).await;
        }
    }

    /// The old servers end at once.
    async fn complete(&self, new: Vec<Arc<Server>>) {
        let _disturbed = self.recorder.disturb(Scope::Servers);
        let old = std::mem::replace(&mut *self.servers.lock().await, new);
        self.end(&old);
    }

    fn end(&self, servers: &[Arc<Server>]) {
        for server in servers {
            self.remove_entry(server);
            server.stop();
        }
    }
}
