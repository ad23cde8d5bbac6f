package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const neverHeldKey = "key-that-no-config-held"

// runTenants takes the last tenant away by a change of the configuration. Requests with its key,
// and with one that no configuration ever held, must not run afterwards.
func runTenants(ctx context.Context, l *lab, trouble bool) error {
	replicas, err := l.addReplicas(3, 20*time.Millisecond, 0, 0)
	if err != nil {
		return err
	}
	l.configure(l.routesOfApp(), oneTenant())
	if err := l.startNodes(ctx, 3, 0); err != nil {
		return err
	}
	ran, err := sendKeys(ctx, l, replicas, "before")
	if err != nil {
		return err
	}
	if ran[neverHeldKey] > 0 || ran[knownKey] == 0 {
		return fmt.Errorf("before the change %d requests with the unknown key and %d with the known one ran", ran[neverHeldKey], ran[knownKey])
	}
	if trouble {
		l.configure(l.routesOfApp(), []map[string]any{})
	}
	if err := sleep(ctx, configApply+stableWindow); err != nil {
		return err
	}
	if ran, err = sendKeys(ctx, l, replicas, "after"); err != nil {
		return err
	}
	switch {
	case ran[neverHeldKey] > 0:
		return fmt.Errorf("%w: %d requests ran whose key no config ever held", errBroken, ran[neverHeldKey])
	case trouble && ran[knownKey] > 0:
		return fmt.Errorf("%w: %d requests ran with a key that was dropped", errBroken, ran[knownKey])
	}
	return nil
}

// sendKeys sends five requests with each key to each node and counts those that ran, by key.
func sendKeys(ctx context.Context, l *lab, replicas []*replica, phase string) (map[string]int, error) {
	ran := map[string]int{}
	client := &http.Client{Timeout: 4 * time.Second}
	for k, key := range []string{knownKey, neverHeldKey} {
		for i, n := range l.nodes {
			for j := range 5 {
				id := fmt.Sprintf("%s-%d-%d-%d", phase, k, i, j)
				req, err := newRequest(ctx, n.front, http.MethodPost, "/act/"+id, id, key, 3*time.Second, http.NoBody)
				if err != nil {
					return nil, err
				}
				resp, err := client.Do(req)
				if err != nil {
					l.note("requester: %s with %s at %s: %v", id, key, n.name, err)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body) // Only the status counts.
				_ = resp.Body.Close()                 // It has been read.
				for _, r := range replicas {
					if _, ok := r.run(id); ok {
						ran[key]++
					}
				}
				l.note("requester: %s with %s at %s: status %d", id, key, n.name, resp.StatusCode)
			}
		}
	}
	return ran, nil
}
