package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// target is the sidecar that the trouble concerns, and flowCount the number of flows at its backend.
	target    = 0
	flowCount = 4
	// stableWindow is longer than stable_window_ms, after which calm machines are in touch.
	stableWindow = 5 * time.Second
	// clockStepSize is the step of clock_step in deskline-tx, 2400 ms.
	clockStepSize = 2400 * time.Millisecond
	// heartbeatSent is more than the time that a backend takes to send a heartbeat.
	heartbeatSent = 200 * time.Millisecond
	// restartDelay is the time from the end of a stopped process to its next start.
	restartDelay = 100 * time.Millisecond
)

// startAll starts a backend beside each sidecar but the one that is left out, and waits until the
// balancers are ready.
func (s *site) startAll(ctx context.Context, leftOut int) error {
	for i := range s.sidecars {
		if err := s.awaitSidecar(ctx, i); err != nil {
			return err
		}
		if i == leftOut {
			continue
		}
		if err := s.startBackend(i, fmt.Sprintf("i-%d", i), time.Now()); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

// foreignHeartbeat sends one heartbeat of another writer to a sidecar. It lacks the field that the
// environment variable FIELD names, which is address by default; with NUMBER, that field is a number.
func foreignHeartbeat(ctx context.Context, s *site, t trouble) (int, error) {
	if err := s.startAll(ctx, -1); err != nil {
		return 0, err
	}
	flows, err := s.openAt(ctx, target, flowCount, 20*time.Second)
	if err != nil {
		return 0, err
	}
	sleep(ctx, stableWindow)
	if t == troubleAll {
		field := cmp.Or(os.Getenv("FIELD"), "address")
		body := map[string]any{
			"service": serviceName, "address": s.sidecarAddr(target, appPort).String(), "zone": zoneName, "version": "v1",
			"slots": 2, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}
		if delete(body, field); os.Getenv("NUMBER") != "" {
			body[field] = 7 // of another type than the page's, unless the field is a number there
		}
		status, err := put(ctx, http.DefaultClient, s.sidecarAddr(target, controlPort), "i-other", body)
		s.record.write("heartbeat of another writer, %s is %v: %s", field, body[field], outcome(status, err))
	}
	sleep(ctx, time.Second)
	broken := s.checkFlows(ctx, target, flows)
	sleep(ctx, 2*beatInterval) // records how later heartbeats of the living backend are received
	return broken, nil
}

// clockStep restarts a sidecar as planned, soon after its backend's start, between which two the time
// of day has jumped back.
func clockStep(ctx context.Context, s *site, t trouble) (int, error) {
	if err := s.startAll(ctx, target); err != nil {
		return 0, err
	}
	born := time.Now()
	if t == troubleAll {
		born = born.Add(clockStepSize)
		s.record.write("the time of day of machine %d is %v ahead", target, clockStepSize)
	}
	started := time.Now()
	if err := s.startBackend(target, "i-new", born); err != nil {
		return 0, err
	}
	flows, err := s.openAt(ctx, target, flowCount, 700*time.Millisecond)
	if err != nil {
		return 0, err
	}
	s.record.write("flows are open %v after the backend's start; the time of day is right", time.Since(started))
	if err := s.restartSidecar(ctx, t); err != nil {
		return 0, err
	}
	sleep(ctx, stableWindow+2*beatInterval)
	return s.checkFlows(ctx, target, flows), nil
}

// restartSidecar restarts the target's sidecar as planned, unless there are to be no disruptions.
func (s *site) restartSidecar(ctx context.Context, t trouble) error {
	if t == troubleNone {
		return nil
	}
	s.stopSidecar(target)
	sleep(ctx, restartDelay)
	return s.startSidecar(target)
}

// lateHeartbeat restarts a sidecar as planned. A heartbeat of the backend before the present one, held
// up by a partition, arrives soon after the restart.
func lateHeartbeat(ctx context.Context, s *site, t trouble) (int, error) {
	if err := s.startProxy(); err != nil {
		return 0, err
	}
	if err := s.startAll(ctx, -1); err != nil {
		return 0, err
	}
	heldUp, since, err := s.replaceBackend(ctx, t)
	if err != nil {
		return 0, err
	}
	flows, err := s.openAt(ctx, target, flowCount, 2*time.Second)
	if err != nil {
		return 0, err
	}
	if err := s.restartSidecar(ctx, t); err != nil {
		return 0, err
	}
	if t == troubleAll {
		err := s.proxy.deliver(ctx, heldUp)
		s.record.write("the heartbeat that was held up arrives, %v after it was sent (%v)", time.Since(since), err)
	}
	sleep(ctx, stableWindow+2*beatInterval)
	return s.checkFlows(ctx, target, flows), nil
}

// replaceBackend holds up a heartbeat of the target's backend, which then crashes and starts again. It
// returns the connection of that heartbeat, and when it was sent.
func (s *site) replaceBackend(ctx context.Context, t trouble) (net.Conn, time.Time, error) {
	if t == troubleNone {
		return nil, time.Time{}, nil
	}
	s.proxy.hold(true)
	heldUp, err := s.proxy.awaitHeld(ctx)
	if err != nil {
		return nil, time.Time{}, err
	}
	s.proxy.hold(false)
	since := time.Now()
	former := s.backends[target]
	s.record.write("heartbeat %d of backend %s is held up by a partition", former.lastSequence(), former.id)
	sleep(ctx, heartbeatSent)
	former.crash()
	if t != troubleAll {
		heldUp.Close() // lost
	}
	return heldUp, since, s.startBackend(target, "i-new", time.Now())
}
