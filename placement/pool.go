package placement

import "github.com/catkinspindle/catkinspindle"

type servicePool struct {
	service string
	pool    catkinspindle.Pool
}

// Pool returns the pool for the nth job of a node on a service. After the number of
// pools changes, some coordinators do not account for jobs that were placed under the
// old division until these end; replicas refuse what exceeds their capacity.
func (p *Planner) Pool(service string, n uint64) catkinspindle.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	parts := p.poolCount(service)
	if parts <= 1 {
		return catkinspindle.Pool{}
	}
	return catkinspindle.Pool{Part: int(n % uint64(parts)), Parts: parts}
}

// poolCount returns the number of pools into which the replicas of a service are divided.
func (p *Planner) poolCount(service string) int {
	return (p.replicaCounts[service] + p.policy.PoolSize - 1) / p.policy.PoolSize
}

// poolReplicas returns the replicas of a pool, ordered by ID.
func (p *Planner) poolReplicas(key servicePool) []*replica {
	if key.pool.Divided() && (key.pool.Part < 0 || key.pool.Part >= key.pool.Parts || key.pool.Parts > len(p.sorted)) {
		return nil // The pool is invalid for the replicas known to this planner.
	}
	list, ok := p.pools[key]
	if !ok {
		for _, r := range p.sorted {
			if r.Service == key.service && r.inPool(key.pool) {
				list = append(list, r)
			}
		}
		p.pools[key] = list
	}
	return list
}
