//! The overlay: a tree over the present members for each publisher, the same at every node that has the same view.
//!
//! Rule: members are grouped by region, then zone, then site. Groups of one level, and the nodes of one site, are ordered
//! by rendezvous hashing of their name with the publisher's key; the publisher's own groups, and the publisher, come
//! first. Nodes that are suspected come last in their site, and groups of such nodes alone last among their like: entries go
//! to them, and no others go by way of them. The first node of each group is its relay. The relays of one level form a
//! heap with [`FANOUT`] children each. A relay with children on one level leaves its own group to the next node of that
//! group (its deputy), so that no node has more than `FANOUT + 1` children whatever the number of levels.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// Children of a relay on one level. With two, and a deputy, a node sends each entry three times at the most: at 6
/// entries of 100 bytes a second that is about a fifth of its budget, and depth grows with the logarithm of the nodes.
pub const FANOUT: usize = 2;
/// Levels of grouping: region, zone, site.
const LEVELS: usize = 3;

/// A member that is present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// This life of it: a restart gives another one.
    pub id: u64,
    /// Its name's hash: the same over restarts.
    pub key: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Hashes of its region, zone and site.
    pub location: [u64; LEVELS],
}

impl Member {
    /// A member by its names. Zones are told apart by their region, sites by their zone.
    pub fn new(id: u64, name: &str, address: SocketAddr, region: &str, zone: &str, site: &str) -> Self {
        let region = hash_name(region);
        let zone = mix(region ^ hash_name(zone));
        let site = mix(zone ^ hash_name(site));
        Self { id, key: hash_name(name), address, location: [region, zone, site] }
    }

    /// Whether both are in one region.
    pub fn shares_region(&self, other: &Self) -> bool {
        self.location[0] == other.location[0]
    }
}

/// The same at every node and in every build (FNV-1a with a finaliser).
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

/// The sum, without regard to order, of a hash for each life: two sets with one sum are the same set.
pub fn set_hash<'a>(members: impl IntoIterator<Item = &'a Member>) -> u64 {
    members.into_iter().fold(0, |sum, member| sum.wrapping_add(mix(member.id)))
}

/// One publisher's tree. Places are those of the list of members that it was built from.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    parent: Vec<Option<usize>>,
    children: Vec<Vec<usize>>,
}

impl Tree {
    /// The tree of the publisher with this key, which need not be present. `suspected`: keys of those that may be gone.
    pub fn new(members: &[Member], publisher: u64, suspected: &BTreeSet<u64>) -> Self {
        let root = members.iter().find(|member| member.key == publisher);
        let sound = groups_with_sound_members(members, suspected);
        let rank = |member: &Member| {
            let score = |what: u64| mix(publisher ^ mix(what));
            let level = |level: usize| {
                let group = member.location[level];
                let is_roots = root.is_some_and(|root| root.location[level] == group);
                (!is_roots, !sound.contains(&group), score(group), group)
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
        order.sort_by_cached_key(|&place| rank(&members[place]));
        let mut tree = Self { parent: vec![None; members.len()], children: vec![Vec::new(); members.len()] };
        tree.attach(members, &order, 0);
        tree
    }

    /// The node that sends entries to this one.
    pub fn parent(&self, place: usize) -> Option<usize> {
        self.parent.get(place).copied().flatten()
    }

    /// The nodes that this one sends entries to.
    pub fn children(&self, place: usize) -> &[usize] {
        self.children.get(place).map_or(&[], Vec::as_slice)
    }

    /// Parent, grandparent and so on up to the root.
    pub fn ancestors(&self, place: usize) -> impl Iterator<Item = usize> + '_ {
        std::iter::successors(self.parent(place), |&above| self.parent(above))
    }

    /// All nodes at and below a place.
    pub fn subtree(&self, place: usize) -> Vec<usize> {
        let mut found = vec![place];
        let mut next = 0;
        while let Some(&at) = found.get(next) {
            found.extend(self.children(at));
            next += 1;
        }
        found
    }

    /// Attaches all of a group below its first node.
    fn attach(&mut self, members: &[Member], group: &[usize], level: usize) {
        if group.len() <= 1 {
            return;
        }
        if level == LEVELS {
            self.heap(group);
            return;
        }
        let parts: Vec<&[usize]> = group
            .chunk_by(|&one, &two| members[one].location[level] == members[two].location[level])
            .collect();
        let relays: Vec<usize> = parts.iter().filter_map(|part| part.first().copied()).collect();
        self.heap(&relays);
        for (number, part) in parts.iter().enumerate() {
            let has_children = number * FANOUT + 1 < relays.len();
            match part {
                [relay, rest @ ..] if has_children && !rest.is_empty() => {
                    self.link(*relay, rest[0]);
                    self.attach(members, rest, level + 1);
                }
                _ => self.attach(members, part, level + 1),
            }
        }
    }

    fn heap(&mut self, nodes: &[usize]) {
        for number in 1..nodes.len() {
            self.link(nodes[(number - 1) / FANOUT], nodes[number]);
        }
    }

    fn link(&mut self, parent: usize, child: usize) {
        self.parent[child] = Some(parent);
        self.children[parent].push(child);
    }
}

/// Regions, zones and sites with a member that is not suspected.
fn groups_with_sound_members(members: &[Member], suspected: &BTreeSet<u64>) -> HashSet<u64> {
    let sound = members.iter().filter(|member| !suspected.contains(&member.key));
    sound.flat_map(|member| member.location).collect()
}

/// The present members, and the trees that were asked for since they last changed.
#[derive(Debug)]
pub struct Overlay {
    /// By key.
    members: Vec<Member>,
    by_address: HashMap<SocketAddr, u64>,
    me: Member,
    set_hash: u64,
    /// Keys of those that may be gone.
    suspected: BTreeSet<u64>,
    trees: HashMap<u64, Tree>,
}

impl Overlay {
    /// A view with the node itself alone.
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

    /// A member is present, or another life of it. Of two under one name the last that is told counts; the node itself
    /// keeps its own.
    pub fn insert(&mut self, member: Member) {
        if member.key == self.me.key {
            return;
        }
        self.suspected.remove(&member.key);
        self.put(member);
    }

    /// A member is present and may be gone: it relays nothing until it is told to be present again.
    pub fn suspect(&mut self, member: &Member) {
        if member.key != self.me.key && self.suspected.insert(member.key) {
            self.trees.clear();
        }
    }

    /// The node itself has come back as another life.
    pub fn set_own(&mut self, me: Member) {
        self.me = me;
        self.put(me);
    }

    /// This life is gone; whether it was here.
    pub fn remove(&mut self, member: &Member) -> bool {
        let Ok(place) = self.members.binary_search_by_key(&member.key, |held| held.key) else { return false };
        if self.members[place].id != member.id || member.key == self.me.key {
            return false;
        }
        let gone = self.members.remove(place);
        self.by_address.remove(&gone.address);
        self.suspected.remove(&gone.key);
        self.set_hash = self.set_hash.wrapping_sub(mix(gone.id));
        self.trees.clear();
        true
    }

    /// All that are present, the node itself among them.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The sum over all lives that are present.
    pub fn set_hash(&self) -> u64 {
        self.set_hash
    }

    /// Who is at an address.
    pub fn member_at(&self, address: SocketAddr) -> Option<&Member> {
        let key = self.by_address.get(&address)?;
        let place = self.members.binary_search_by_key(key, |held| held.key).ok()?;
        self.members.get(place)
    }

    /// A publisher's tree, built where it is not there yet.
    pub fn tree_view(&mut self, publisher: u64) -> TreeView<'_> {
        let members = &self.members;
        let own_index = members.binary_search_by_key(&self.me.key, |held| held.key).unwrap_or(0);
        let suspected = &self.suspected;
        let tree = self.trees.entry(publisher).or_insert_with(|| Tree::new(members, publisher, suspected));
        TreeView { members, by_address: &self.by_address, own_index, tree }
    }

    fn put(&mut self, member: Member) {
        match self.members.binary_search_by_key(&member.key, |held| held.key) {
            Ok(place) => {
                let held = std::mem::replace(&mut self.members[place], member);
                self.set_hash = self.set_hash.wrapping_sub(mix(held.id));
                self.by_address.remove(&held.address);
            }
            Err(place) => self.members.insert(place, member),
        }
        self.set_hash = self.set_hash.wrapping_add(mix(member.id));
        self.by_address.insert(member.address, member.key);
        self.trees.clear();
    }
}

/// A node's place in one publisher's tree.
#[derive(Clone, Copy, Debug)]
pub struct TreeView<'a> {
    /// All that are present.
    pub members: &'a [Member],
    by_address: &'a HashMap<SocketAddr, u64>,
    /// The node's own place.
    pub own_index: usize,
    /// The tree.
    pub tree: &'a Tree,
}

impl<'a> TreeView<'a> {
    /// The members that the node passes entries to.
    pub fn children(self) -> impl Iterator<Item = &'a Member> {
        self.tree.children(self.own_index).iter().filter_map(move |&place| self.members.get(place))
    }

    /// The members above the node, the nearest first.
    pub fn ancestors(self) -> impl Iterator<Item = &'a Member> {
        self.tree.ancestors(self.own_index).filter_map(move |place| self.members.get(place))
    }

    /// The place of who is at an address.
    pub fn index_of(self, address: SocketAddr) -> Option<usize> {
        let key = self.by_address.get(&address)?;
        self.members.binary_search_by_key(key, |held| held.key).ok()
    }
}
