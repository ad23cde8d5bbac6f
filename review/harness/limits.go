package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	headerBytesBefore = 16384
	headerBytesAfter  = 65536
	channelsOfLimits  = 24
)

// runLimits raises max-header-bytes by a change of the configuration. Requesters then send requests
// within the new limit, on the channels that they have kept.
func runLimits(ctx context.Context, l *lab, trouble bool) error {
	if _, err := l.addReplicas(3, 20*time.Millisecond, 0, 0); err != nil {
		return err
	}
	l.headerBytes = headerBytesBefore
	l.configure(l.routesOfApp(), oneTenant())
	if err := l.startNodes(ctx, 2, 0); err != nil {
		return err
	}
	kept := make([]*http.Client, channelsOfLimits)
	sent, denied := 0, 0
	send := func(i int, phase string, headerBytes int) error {
		n := l.nodes[i%len(l.nodes)]
		id := fmt.Sprintf("%s-%d", phase, i)
		req, err := newRequest(ctx, n.front, http.MethodPost, "/act/"+id, id, knownKey, 3*time.Second, http.NoBody)
		if err != nil {
			return err
		}
		req.Header.Set("Context", strings.Repeat("x", headerBytes))
		sent++
		resp, err := kept[i].Do(req)
		if err != nil {
			l.note("requester: %s: %v", id, err)
			return nil
		}
		_, _ = io.Copy(io.Discard, resp.Body) // Only the status counts.
		_ = resp.Body.Close()                 // It has been read.
		sealed := resp.Header.Get("Response-Seal") != ""
		l.note("requester: %s with a header of %d bytes at %s: status %d, sealed by a replica: %t", id, headerBytes, n.name, resp.StatusCode, sealed)
		if resp.StatusCode/100 == 4 && resp.StatusCode != http.StatusRequestTimeout && resp.StatusCode != http.StatusMisdirectedRequest && resp.StatusCode != http.StatusTooManyRequests && !sealed {
			denied++
		}
		return nil
	}
	for i := range kept {
		kept[i] = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DialContext: oneChannel()}}
		if err := send(i, "first", 100); err != nil {
			return err
		}
	}
	if denied > 0 {
		return fmt.Errorf("%d of the first requests were denied", denied)
	}
	headerBytes := headerBytesBefore / 2
	if trouble {
		l.headerBytes = headerBytesAfter
		l.configure(l.routesOfApp(), oneTenant())
		headerBytes = headerBytesAfter / 2
	}
	if err := sleep(ctx, configApply+stableWindow); err != nil {
		return err
	}
	for i := range kept {
		if err := send(i, "second", headerBytes); err != nil {
			return err
		}
	}
	l.note("judge: %d of %d requests were denied by the nodes", denied, sent)
	if float64(denied) > 5+float64(sent)/500 {
		return fmt.Errorf("%w: %d of %d proper requests, which every config in force allows, were ended with a 4xx of the node", errBroken, denied, sent)
	}
	return nil
}

// oneChannel returns a dial function for a client that keeps its channel: it opens a new one only
// when that was closed.
func oneChannel() func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second}
	return dialer.DialContext
}
