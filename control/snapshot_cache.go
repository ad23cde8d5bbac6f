package control

import (
	"slices"

	"github.com/catkinspindle/catkinspindle"
)

// snapshotCache caches the parts of a snapshot that are costly to compute. Each is
// recomputed only when its inputs have changed.
type snapshotCache struct {
	// stale means that members, their loads, the configuration, VMs or leaving marks may have
	// changed.
	stale bool
	// changedLedgers holds the engines whose local ledgers have changed since the last snapshot.
	changedLedgers map[string]bool

	// key is the key that assignments and homes were computed from.
	key         fleetKey
	assignments []catkinspindle.Assignment
	homes       map[string]catkinspindle.Member
	members     []catkinspindle.Member
	remoteLoads map[string]catkinspindle.HomeLoad
	localLoads  map[string]catkinspindle.HomeLoad
}

// fleetKey holds the inputs of assignments and homes, to compare them with the last ones.
type fleetKey struct {
	configVersion  int64
	vmsChangeCount int
	leaving        []string
	members        []memberKey
}

type memberKey struct {
	origin     catkinspindle.Origin
	dataCentre string
	leaving    bool
}

func (k fleetKey) equal(o fleetKey) bool {
	return k.configVersion == o.configVersion && k.vmsChangeCount == o.vmsChangeCount &&
		slices.Equal(k.leaving, o.leaving) && slices.Equal(k.members, o.members)
}

func (c *Control) fleetKey(live []catkinspindle.Member) fleetKey {
	k := fleetKey{configVersion: c.config.Version, vmsChangeCount: c.vmsChangeCount}
	for name := range c.leavingUntil {
		k.leaving = append(k.leaving, name)
	}
	slices.Sort(k.leaving)
	for _, m := range live {
		k.members = append(k.members, memberKey{origin: m.Origin, dataCentre: m.DataCentre, leaving: m.Leaving})
	}
	return k
}

// refreshAssignments recomputes the assignments and the homes of engines if members,
// configuration, VMs or leaving marks have changed, and reports whether they have.
func (c *Control) refreshAssignments() bool {
	live := c.table.Live()
	key := c.fleetKey(live)
	if c.cache.homes != nil && key.equal(c.cache.key) {
		return false
	}
	c.cache.key = key
	c.cache.assignments = c.config.Assign(c.vmsWithLeaving())
	c.cache.homes = map[string]catkinspindle.Member{}
	for _, vm := range c.engines() {
		if m, ok := homeOf(vm, live); ok {
			c.cache.homes[vm.Name] = m
		}
	}
	return true
}

// refreshRemoteLoads updates the loads of all ledgers from the membership entries. It
// ignores a load from a member that is not the engine's home.
func (c *Control) refreshRemoteLoads() {
	c.cache.members = c.table.Live()
	c.cache.remoteLoads = map[string]catkinspindle.HomeLoad{}
	for _, m := range c.cache.members {
		for _, l := range m.Homes {
			if c.cache.homes[l.Engine].Origin == m.Origin {
				c.cache.remoteLoads[l.Engine] = l
			}
		}
	}
}

// refreshLocalLoads updates the loads of the local ledgers: of all, or of new and changed ones.
func (c *Control) refreshLocalLoads(all bool) {
	loads := make(map[string]catkinspindle.HomeLoad, len(c.ledgers))
	for name, h := range c.ledgers {
		load, known := c.cache.localLoads[name]
		if all || !known || c.cache.changedLedgers[name] {
			load = h.Load()
		}
		loads[name] = load
	}
	c.cache.localLoads = loads
	c.cache.changedLedgers = map[string]bool{}
}

// publish stores a new snapshot if the state has changed since the last one.
func (c *Control) publish() {
	if !c.cache.stale && len(c.cache.changedLedgers) == 0 {
		return
	}
	if c.cache.stale {
		c.updateLedgers()
		c.refreshRemoteLoads()
	}
	c.refreshLocalLoads(c.cache.stale)
	c.cache.stale = false
	c.snapshot.Store(&catkinspindle.Snapshot{
		Self:        c.table.Self(),
		Members:     c.cache.members,
		Config:      c.config,
		Serving:     c.cache.assignments,
		Homes:       c.cache.homes,
		RemoteLoads: c.cache.remoteLoads,
		LocalLoads:  c.cache.localLoads,
		Superseded:  c.table.Superseded(),
	})
}
