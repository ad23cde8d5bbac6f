package control

import (
	"slices"

	"github.com/catkinspindle/catkinspindle"
)

// views caches the parts of a snapshot that are costly to compute. Each is recomputed only
// when its inputs have changed.
type views struct {
	// stale means that members, their loads, the configuration, VMs or marks may have changed.
	stale bool
	// touched holds the engines whose local ledgers have changed since the last snapshot.
	touched map[string]bool

	// fleet is the key that serving and homes were computed from.
	fleet   fleetKey
	serving []catkinspindle.Assignment
	homes   map[string]catkinspindle.Member
	members []catkinspindle.Member
	remote  map[string]catkinspindle.HomeLoad
	own     map[string]catkinspindle.HomeLoad
}

// fleetKey holds the inputs of assignments and homes, to compare them with the last ones.
type fleetKey struct {
	text    int64
	list    int
	leaving []string
	members []memberKey
}

type memberKey struct {
	origin     catkinspindle.Origin
	dataCentre string
	leaving    bool
}

func (k fleetKey) equal(o fleetKey) bool {
	return k.text == o.text && k.list == o.list &&
		slices.Equal(k.leaving, o.leaving) && slices.Equal(k.members, o.members)
}

func (c *Control) fleetKey(live []catkinspindle.Member) fleetKey {
	k := fleetKey{text: c.text.Version, list: c.vmsChanges}
	for name := range c.marks {
		k.leaving = append(k.leaving, name)
	}
	slices.Sort(k.leaving)
	for _, m := range live {
		k.members = append(k.members, memberKey{origin: m.Origin, dataCentre: m.DataCentre, leaving: m.Leaving})
	}
	return k
}

// refreshFleet recomputes the assignments and the homes of engines if members,
// configuration, VMs or leaving marks have changed, and reports whether they have.
func (c *Control) refreshFleet() bool {
	live := c.table.Live()
	key := c.fleetKey(live)
	if c.views.homes != nil && key.equal(c.views.fleet) {
		return false
	}
	c.views.fleet = key
	c.views.serving = c.text.Assign(c.markedVMs())
	c.views.homes = map[string]catkinspindle.Member{}
	for _, vm := range c.engines() {
		if m, ok := homeOf(vm, live); ok {
			c.views.homes[vm.Name] = m
		}
	}
	return true
}

// refreshLoads updates the loads of all ledgers from the membership entries. It ignores a
// load from a member that is not the engine's home.
func (c *Control) refreshLoads() {
	c.views.members = c.table.Live()
	c.views.remote = map[string]catkinspindle.HomeLoad{}
	for _, m := range c.views.members {
		for _, l := range m.Homes {
			if c.views.homes[l.Engine].Origin == m.Origin {
				c.views.remote[l.Engine] = l
			}
		}
	}
}

// refreshOwn updates the loads of the local ledgers: of all, or of new and changed ones.
func (c *Control) refreshOwn(all bool) {
	own := make(map[string]catkinspindle.HomeLoad, len(c.homes))
	for name, h := range c.homes {
		old, known := c.views.own[name]
		if all || !known || c.views.touched[name] {
			old = h.Load()
		}
		own[name] = old
	}
	c.views.own = own
	c.views.touched = map[string]bool{}
}

// publish stores a new snapshot if the state has changed since the last one.
func (c *Control) publish() {
	if !c.views.stale && len(c.views.touched) == 0 {
		return
	}
	if c.views.stale {
		c.assignHomes()
		c.refreshLoads()
	}
	c.refreshOwn(c.views.stale)
	c.views.stale = false
	c.snapshot.Store(&catkinspindle.Snapshot{
		Self:       c.table.Self(),
		Members:    c.views.members,
		Text:       c.text,
		Serving:    c.views.serving,
		Homes:      c.views.homes,
		Remote:     c.views.remote,
		Own:        c.views.own,
		Superseded: c.table.Superseded(),
	})
}
