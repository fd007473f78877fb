package play

import "context"

func (r *run) killLeader(ctx context.Context) {}

func (r *run) restartLeader(ctx context.Context) {}
