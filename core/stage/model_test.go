package stage_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/config"
	"trefoilthread/core/stage"
	"trefoilthread/core/types"
)

// daemon is one incarnation of a daemon with the document it has in force.
type daemon struct {
	incarnation    uint64
	current        *config.Current
	highestVersion int64
}

// dataCentre is one data centre: its running daemons, and the state of its leader.
type dataCentre struct {
	name    types.DataCentre
	daemons map[types.TargetID]*daemon
	// joined holds the incarnations that have joined the leader.
	joined map[types.TargetID]uint64
	// serving holds the incarnations that any leader has counted. They serve
	// calls until they leave, even while a later leader does not count them.
	serving map[types.TargetID]uint64
	leader  *stage.Members
	inForce int64
}

// model is a deployment whose messages are delayed, duplicated, reordered or
// lost. The status reads the member counts directly from the leaders: the delay
// until a summary reaches the operators is not modelled.
type model struct {
	docs            []config.Document
	dataCentres     []*dataCentre
	status          *stage.Status
	undelivered     []func(t *rapid.T)
	revision        int64
	lastIncarnation uint64
}

func (m *model) send(f func(t *rapid.T)) { m.undelivered = append(m.undelivered, f) }

func (m *model) commit(t *rapid.T) {
	last := m.docs[len(m.docs)-1]
	name := fmt.Sprintf("s%d", last.Version())
	svc := config.NewService(config.ServiceSpec{
		Name: types.ServiceName(name), DataCentres: []types.DataCentre{"kl-sentral"}, Slots: 1, Connections: 1,
	})
	doc, _, err := config.Apply(last, config.NewChange(config.ChangeSpec{Service: svc, RequestID: name, Operator: "op"}), time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	m.docs = append(m.docs, doc)
}

func (m *model) start(c *dataCentre, id types.TargetID) {
	m.lastIncarnation++
	c.daemons[id] = &daemon{incarnation: m.lastIncarnation, current: config.NewCurrent()}
}

// push sends doc, which may be outdated, to a daemon. The daemon acknowledges
// the version that it has in force after it has received doc.
func (m *model) push(c *dataCentre, id types.TargetID, doc config.Document) {
	d, ok := c.daemons[id]
	if !ok {
		return
	}
	m.send(func(t *rapid.T) {
		d.current.Offer(doc)
		v := d.current.Version()
		if v < d.highestVersion {
			t.Fatalf("version in force of daemon %s fell from %d to %d", id, d.highestVersion, v)
		}
		d.highestVersion = v
		m.send(func(*rapid.T) { c.leader.Acknowledge(id, d.incarnation, v) })
	})
}

func (m *model) checkInvariants(t *rapid.T) {
	for _, c := range m.dataCentres {
		m.revision++
		m.status.SetMembers(c.name, m.revision, c.leader.NumCounted(), "")
		if c.leader.InForce() < c.inForce {
			t.Fatalf("version in force of %s fell from %d to %d", c.name, c.inForce, c.leader.InForce())
		}
		c.inForce = c.leader.InForce()
		joining := c.leader.Joining()
		for id, inc := range c.joined {
			if !slices.Contains(joining, id) {
				c.serving[id] = inc
			}
		}
	}
	for v := int64(1); v < int64(len(m.docs)); v++ {
		if !m.status.Accepted(v) {
			break
		}
		for _, c := range m.dataCentres {
			for id, d := range c.daemons {
				if c.serving[id] == d.incarnation && d.current.Version() < v {
					t.Fatalf("version %d is accepted, but daemon %s in %s has version %d in force", v, id, c.name, d.current.Version())
				}
			}
		}
	}
}

// A version must not be reported as accepted while a serving member still has
// an older one in force, and the version in force of a daemon or a data centre
// must never decrease.
func TestAcceptedMeansInForceEverywhere(t *testing.T) {
	acceptedStates := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{docs: []config.Document{{}}, status: stage.NewStatus()}
		for _, name := range []types.DataCentre{"kl-sentral", "penang-north"} {
			m.dataCentres = append(m.dataCentres, &dataCentre{
				name: name, leader: stage.NewMembers(0, nil),
				daemons: map[types.TargetID]*daemon{}, joined: map[types.TargetID]uint64{},
				serving: map[types.TargetID]uint64{},
			})
		}
		for _, c := range m.dataCentres {
			for _, id := range []types.TargetID{"a", "b"} {
				m.start(c, id)
				c.leader.Join(id, c.daemons[id].incarnation)
				c.joined[id] = c.daemons[id].incarnation
			}
		}
		pick := func(t *rapid.T) (*dataCentre, types.TargetID) {
			c := rapid.SampledFrom(m.dataCentres).Draw(t, "dc")
			return c, types.TargetID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "daemon"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"commit": m.commit,
			"start":  func(t *rapid.T) { c, id := pick(t); m.start(c, id) },
			"join": func(t *rapid.T) {
				c, id := pick(t)
				if d, ok := c.daemons[id]; ok {
					c.leader.Join(id, d.incarnation)
					c.joined[id] = d.incarnation
				}
			},
			"leave": func(t *rapid.T) {
				c, id := pick(t)
				c.leader.Leave(id, c.joined[id])
				delete(c.joined, id)
				delete(c.daemons, id)
			},
			"push": func(t *rapid.T) {
				c, id := pick(t)
				m.push(c, id, rapid.SampledFrom(m.docs).Draw(t, "doc"))
			},
			"converge": func(t *rapid.T) {
				for _, c := range m.dataCentres {
					for _, id := range []types.TargetID{"a", "b", "c"} {
						if rapid.IntRange(0, 3).Draw(t, "reached") > 0 {
							m.push(c, id, m.docs[len(m.docs)-1])
						}
					}
				}
				// The first round delivers the documents and acknowledgements and sends
				// the reports of all data centres; the second delivers the reports.
				for round := range 2 {
					for ; len(m.undelivered) > 0; m.undelivered = m.undelivered[1:] {
						m.undelivered[0](t)
					}
					for _, c := range m.dataCentres[:2*(1-round)] {
						v := c.leader.InForce()
						m.send(func(*rapid.T) { m.status.SetInForce(c.name, v) })
					}
				}
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(0, 12).Draw(t, "messages") {
					if len(m.undelivered) == 0 {
						return
					}
					i := rapid.IntRange(0, len(m.undelivered)-1).Draw(t, "message")
					f := m.undelivered[i]
					if rapid.IntRange(0, 7).Draw(t, "twice") > 0 {
						m.undelivered = append(m.undelivered[:i], m.undelivered[i+1:]...)
					}
					f(t)
				}
			},
			"report": func(t *rapid.T) {
				c, _ := pick(t)
				v := c.leader.InForce()
				m.send(func(*rapid.T) { m.status.SetInForce(c.name, v) })
			},
			"take over": func(t *rapid.T) {
				c, _ := pick(t)
				var live []stage.Member
				joining := c.leader.Joining()
				for id, inc := range c.joined {
					if !slices.Contains(joining, id) {
						live = append(live, stage.NewMember(id, inc))
					} else {
						delete(c.joined, id)
					}
				}
				before := c.leader.InForce()
				c.leader = stage.NewMembers(before, live)
				if c.leader.InForce() < before {
					t.Fatalf("version in force of %s fell from %d after a change of leader", c.name, before)
				}
			},
			"": func(t *rapid.T) {
				m.checkInvariants(t)
				if m.status.Accepted(1) {
					acceptedStates++
				}
			},
		})
	})
	if acceptedStates == 0 {
		t.Fatal("no version was ever accepted, the property was not exercised")
	}
	t.Logf("version 1 was accepted in %d states", acceptedStates)
}
