package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	watchTarget = "/v1/servers?stream=1&index="
	listTarget  = "/v1/servers"
)

// errWatchEnded stands for the regular end of a watch, which is as unexpected as any other.
var errWatchEnded = errors.New("discovery ended the watch")

// watch follows changes from the given time until ctx ends. Package endpointwatch decides when a call is ended, which
// ends the dispatch module is notified of, and when the next call is made at the latest.
func (c *Client) watch(ctx context.Context, from time.Time) {
	for at := c.currentSource(); c.waitBeforeCall(ctx, at, time.Until(from)); {
		at = c.currentSource()
		from = c.watchOnce(ctx, at)
	}
}

// waitBeforeCall waits for the given time, or until the address of discovery has been replaced since the last call;
// the next call then follows at once. It returns false if no more calls are to be made.
func (c *Client) waitBeforeCall(ctx context.Context, at source, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-at.moved():
	case <-ctx.Done():
	}
	if at.hasMoved() {
		c.tracker.SourceMoved(time.Now())
	}
	return ctx.Err() == nil
}

// watchOnce follows changes for the duration of one call, and returns when the next one is due.
func (c *Client) watchOnce(ctx context.Context, at source) time.Time {
	c.callInProgress.Store(true)
	defer c.callInProgress.Store(false)
	c.tracker.CallStarted(time.Now())
	err := c.callAt(ctx, at, watchTarget+strconv.FormatUint(c.index.Load(), 10), &c.tracker)
	now := time.Now()
	if at.hasMoved() {
		return now // waitBeforeCall notifies the tracker
	}
	next := c.tracker.CallEnded(now, callEnd(err), rand.Float64())
	if ctx.Err() != nil {
		return now
	}
	if err == nil {
		err = errWatchEnded
	}
	c.sink.ListCallFailed()
	if !next.Owned {
		c.callInProgress.Store(false) // before the module is notified, since what it then requests is another call
		c.reportFailure("watch", err)
	} else {
		c.log.Info("discovery call failed", "call", "watch", "err", err, "retry_in", next.At.Sub(now).Round(time.Millisecond))
	}
	// The agent of a pushed list can take any number of calls: the next call follows soon, or earlier if the tracker
	// requires it.
	if nextPushedCall := now.Add(c.limits.PushedListRetryInterval); c.pushed &&
		(!next.Owned || !next.At.Before(nextPushedCall)) {
		return nextPushedCall
	}
	return next.At
}

// fetch gets the whole list once, and repeats the call if the address of discovery is replaced meanwhile. If ctx ends,
// nothing is reported.
func (c *Client) fetch(ctx context.Context) {
	for ctx.Err() == nil {
		at := c.currentSource()
		err := c.callAt(ctx, at, listTarget, nil)
		if err != nil && at.hasMoved() {
			continue
		}
		if err != nil && ctx.Err() == nil {
			c.reportFailure("list", err)
		}
		return
	}
}
