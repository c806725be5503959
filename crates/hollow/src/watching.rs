//! Looking at a hollow fleet while it runs, and silencing its nodes.

use crate::fleet::{Fleet, PATIENCE, PAUSE};
use crate::node_group::{NodeGroupOrder, NodeGroupView};
use crate::opening::RelayView;
use crate::proc::Usage;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::sleep;

impl Fleet {
    pub async fn look(&self) -> NodeGroupView {
        let mut all = NodeGroupView {
            least_revision: u64::MAX,
            least_members: usize::MAX,
            assigned: true,
            ..NodeGroupView::default()
        };
        for group in &self.groups {
            let (reply, told) = oneshot::channel();
            let _ = group.send(NodeGroupOrder::Look(reply));
            let Ok(view) = told.await else { continue };
            all.tally.merge(&view.tally);
            all.nodes += view.nodes;
            all.serving += view.serving;
            all.least_revision = all.least_revision.min(view.least_revision);
            all.least_members = all.least_members.min(view.least_members);
            all.most_members = all.most_members.max(view.most_members);
            all.assigned &= view.assigned;
        }
        all
    }

    pub async fn relayed(&self) -> RelayView {
        let mut all = RelayView::default();
        for relay in &self.relays {
            let (reply, told) = oneshot::channel();
            let _ = relay.send(reply);
            let Ok(view) = told.await else { continue };
            all.tally.merge(&view.tally);
            all.lists += view.lists;
            all.list_bytes += view.list_bytes;
        }
        all
    }

    /// Waits until the hollow nodes' common view fits, and says how long that took.
    pub async fn until(&mut self, what: &str, fits: impl Fn(&NodeGroupView) -> bool) -> Result<Duration, String> {
        let begun = Instant::now();
        loop {
            let view = self.look().await;
            if fits(&view) {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > PATIENCE {
                let NodeGroupView { nodes, serving, least_members, most_members, .. } = view;
                return Err(format!(
                    "{what} is not reached in {PATIENCE:?}: {serving} of {nodes} hollow nodes serve and know {least_members} to {most_members} of {} members",
                    self.total
                ));
            }
            self.alive()?;
            sleep(PAUSE).await;
        }
    }

    pub fn silence(&self, numbers: &[usize], back: bool) {
        for (place, group) in self.groups.iter().enumerate() {
            let places =
                numbers.iter().map(|n| self.group_of[*n]).filter(|(w, _)| *w == place).map(|(_, p)| p).collect();
            let _ = group.send(NodeGroupOrder::Silence { places, back });
        }
    }

    pub fn usage(&self) -> BTreeMap<String, Usage> {
        let each = self.processes.iter().map(|process| (process.name.clone(), Usage::of(process.child.id())));
        each.chain([("itself".to_owned(), Usage::of(std::process::id()))]).collect()
    }
}
