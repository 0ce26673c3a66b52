//! The overlay: for each publisher a tree over the present members, which is the same at every node with the same view.
//!
//! Members are grouped by region, then zone, then site. The groups of one level, and the nodes of one site, are ordered
//! by rendezvous hashing of their name with the publisher's key; the publisher's own groups, and the publisher itself,
//! come first. Suspected nodes come last in their site, and groups with suspected nodes only come last on their level:
//! they receive entries but relay none to others. The first node of each group is its relay. The relays of one level
//! form a heap with [`FANOUT`] children each. A relay with children on one level leaves its own group to the next node
//! of that group (its deputy), so that no node has more than `FANOUT + 1` children, whatever the number of levels.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// Children of a relay on one level. With two, and a deputy, a node sends each entry at most three times: at 6 entries
/// of 100 bytes a second that is about a fifth of its byte budget, and the depth grows with the logarithm of the number
/// of nodes.
pub const FANOUT: usize = 2;
/// Levels of grouping: region, zone, site.
const LEVELS: usize = 3;

/// A present member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identifies the incarnation: a restart gives another one.
    pub id: u64,
    /// Hash of the name: the same after a restart.
    pub key: u64,
    /// Address of its socket.
    pub address: SocketAddr,
    /// Hashes of its region, zone and site.
    pub location: [u64; LEVELS],
}

impl Member {
    /// A member with these names. Zones are distinguished by their region as well, sites by their zone.
    pub fn new(id: u64, name: &str, address: SocketAddr, region: &str, zone: &str, site: &str) -> Self {
        let region = hash_name(region);
        let zone = mix(region ^ hash_name(zone));
        let site = mix(zone ^ hash_name(site));
        Self { id, key: hash_name(name), address, location: [region, zone, site] }
    }

    /// Whether both are in the same region.
    pub fn shares_region(&self, other: &Self) -> bool {
        self.location[0] == other.location[0]
    }
}

/// Hash of a name, the same at every node and in every build (FNV-1a with a finaliser).
pub fn hash_name(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

/// The finaliser of splitmix64.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Sum of the hashes of the members' incarnations, regardless of order. Equal sums mean equal sets, but for hash
/// collisions.
pub fn set_hash<'a>(members: impl IntoIterator<Item = &'a Member>) -> u64 {
    members.into_iter().fold(0, |sum, member| sum.wrapping_add(mix(member.id)))
}

/// One publisher's tree. Nodes are given by their index in the list of members that the tree was built from.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    parent: Vec<Option<usize>>,
    children: Vec<Vec<usize>>,
}

impl Tree {
    /// The tree of the publisher with this key, which need not be present. `suspected`: keys of suspected members.
    pub fn new(members: &[Member], publisher: u64, suspected: &BTreeSet<u64>) -> Self {
        let root = members.iter().find(|member| member.key == publisher);
        let unsuspected = groups_with_unsuspected_members(members, suspected);
        let rank = |member: &Member| {
            let score = |hash: u64| mix(publisher ^ mix(hash));
            let level = |level: usize| {
                let group = member.location[level];
                let is_publishers = root.is_some_and(|root| root.location[level] == group);
                (!is_publishers, !unsuspected.contains(&group), score(group), group)
            };
            let is_suspected = suspected.contains(&member.key);
            (
                level(0),
                level(1),
                level(2),
                member.key != publisher,
                is_suspected,
                score(member.key),
                member.key,
            )
        };
        let mut order: Vec<usize> = (0..members.len()).collect();
        order.sort_by_cached_key(|&index| rank(&members[index]));
        let mut tree = Self { parent: vec![None; members.len()], children: vec![Vec::new(); members.len()] };
        tree.attach(members, &order, 0);
        tree
    }

    /// The node that sends entries to this one, except at the root.
    pub fn parent(&self, index: usize) -> Option<usize> {
        self.parent.get(index).copied().flatten()
    }

    /// The nodes to which this one sends entries.
    pub fn children(&self, index: usize) -> &[usize] {
        self.children.get(index).map_or(&[], Vec::as_slice)
    }

    /// Parent, grandparent and so on up to the root.
    pub fn ancestors(&self, index: usize) -> impl Iterator<Item = usize> + '_ {
        std::iter::successors(self.parent(index), |&ancestor| self.parent(ancestor))
    }

    /// This node and all nodes below it.
    pub fn subtree(&self, index: usize) -> Vec<usize> {
        let mut found = vec![index];
        let mut next = 0;
        while let Some(&node) = found.get(next) {
            found.extend(self.children(node));
            next += 1;
        }
        found
    }

    /// Attaches all nodes of a group below its first node.
    fn attach(&mut self, members: &[Member], group: &[usize], level: usize) {
        if group.len() <= 1 {
            return;
        }
        if level == LEVELS {
            self.link_heap(group);
            return;
        }
        let parts: Vec<&[usize]> = group
            .chunk_by(|&left, &right| members[left].location[level] == members[right].location[level])
            .collect();
        let relays: Vec<usize> = parts.iter().filter_map(|part| part.first().copied()).collect();
        self.link_heap(&relays);
        for (position, part) in parts.iter().enumerate() {
            let has_children = position * FANOUT + 1 < relays.len();
            match part {
                [relay, others @ ..] if has_children && !others.is_empty() => {
                    self.link(*relay, others[0]);
                    self.attach(members, others, level + 1);
                }
                _ => self.attach(members, part, level + 1),
            }
        }
    }

    fn link_heap(&mut self, nodes: &[usize]) {
        for position in 1..nodes.len() {
            self.link(nodes[(position - 1) / FANOUT], nodes[position]);
        }
    }

    fn link(&mut self, parent: usize, child: usize) {
        self.parent[child] = Some(parent);
        self.children[parent].push(child);
    }
}

/// Regions, zones and sites with a member that is not suspected.
fn groups_with_unsuspected_members(members: &[Member], suspected: &BTreeSet<u64>) -> HashSet<u64> {
    let unsuspected = members.iter().filter(|member| !suspected.contains(&member.key));
    unsuspected.flat_map(|member| member.location).collect()
}

/// The present members, and a cache of the trees that were requested since the members last changed.
#[derive(Debug)]
pub struct Overlay {
    /// Sorted by key.
    members: Vec<Member>,
    by_address: HashMap<SocketAddr, u64>,
    me: Member,
    set_hash: u64,
    /// Keys of suspected members.
    suspected: BTreeSet<u64>,
    trees: HashMap<u64, Tree>,
}

impl Overlay {
    /// A view that contains only the node itself.
    pub fn new(me: Member) -> Self {
        let by_address = HashMap::from([(me.address, me.key)]);
        Self {
            members: vec![me],
            by_address,
            me,
            set_hash: set_hash([&me]),
            suspected: BTreeSet::new(),
            trees: HashMap::new(),
        }
    }

    /// Adds a member, or replaces its incarnation. If two members share a name, the last one inserted counts; the entry
    /// of the node itself is not replaced.
    pub fn insert(&mut self, member: Member) {
        if member.key == self.me.key {
            return;
        }
        self.suspected.remove(&member.key);
        self.insert_or_replace(member);
    }

    /// Marks a member as suspected: it relays nothing until it is inserted again.
    pub fn suspect(&mut self, member: &Member) {
        if member.key != self.me.key && self.suspected.insert(member.key) {
            self.trees.clear();
        }
    }

    /// Replaces the node's own incarnation.
    pub fn set_own(&mut self, me: Member) {
        self.me = me;
        self.insert_or_replace(me);
    }

    /// Removes this incarnation. Returns whether it was present.
    pub fn remove(&mut self, member: &Member) -> bool {
        let Ok(index) = self.members.binary_search_by_key(&member.key, |held| held.key) else { return false };
        if self.members[index].id != member.id || member.key == self.me.key {
            return false;
        }
        let removed = self.members.remove(index);
        self.by_address.remove(&removed.address);
        self.suspected.remove(&removed.key);
        self.set_hash = self.set_hash.wrapping_sub(mix(removed.id));
        self.trees.clear();
        true
    }

    /// All present members, this node included.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Sum of the hashes of all present incarnations: see [`set_hash`].
    pub fn set_hash(&self) -> u64 {
        self.set_hash
    }

    /// The member at an address.
    pub fn member_at(&self, address: SocketAddr) -> Option<&Member> {
        let key = self.by_address.get(&address)?;
        let index = self.members.binary_search_by_key(key, |held| held.key).ok()?;
        self.members.get(index)
    }

    /// This node's position in a publisher's tree. The tree is built if it is not cached.
    pub fn tree_view(&mut self, publisher: u64) -> TreeView<'_> {
        let members = &self.members;
        let own_index = members.binary_search_by_key(&self.me.key, |held| held.key).unwrap_or(0);
        let suspected = &self.suspected;
        let tree = self.trees.entry(publisher).or_insert_with(|| Tree::new(members, publisher, suspected));
        TreeView { members, by_address: &self.by_address, own_index, tree }
    }

    fn insert_or_replace(&mut self, member: Member) {
        match self.members.binary_search_by_key(&member.key, |held| held.key) {
            Ok(index) => {
                let held = std::mem::replace(&mut self.members[index], member);
                self.set_hash = self.set_hash.wrapping_sub(mix(held.id));
                self.by_address.remove(&held.address);
            }
            Err(index) => self.members.insert(index, member),
        }
        self.set_hash = self.set_hash.wrapping_add(mix(member.id));
        self.by_address.insert(member.address, member.key);
        self.trees.clear();
    }
}

/// A node's position in one publisher's tree.
#[derive(Clone, Copy, Debug)]
pub struct TreeView<'a> {
    /// All present members.
    pub members: &'a [Member],
    by_address: &'a HashMap<SocketAddr, u64>,
    /// The node's own index.
    pub own_index: usize,
    /// The tree.
    pub tree: &'a Tree,
}

impl<'a> TreeView<'a> {
    /// The members to which the node forwards entries.
    pub fn children(self) -> impl Iterator<Item = &'a Member> {
        self.tree.children(self.own_index).iter().filter_map(move |&index| self.members.get(index))
    }

    /// The members above the node, nearest first.
    pub fn ancestors(self) -> impl Iterator<Item = &'a Member> {
        self.tree.ancestors(self.own_index).filter_map(move |index| self.members.get(index))
    }

    /// Index of the member at an address.
    pub fn index_of(self, address: SocketAddr) -> Option<usize> {
        let key = self.by_address.get(&address)?;
        self.members.binary_search_by_key(key, |held| held.key).ok()
    }
}
