package spread

import (
	"context"
	"testing"
	"time"

	"github.com/banksail/banksail/policy"
)

// A store restored from a backup continues from a revision number below the one
// that the watchers read last. A watch after that number reports nothing until
// the store has passed it. A watcher that no peer can reach must still receive
// what is confirmed in that time.
func TestWatchersFollowStoreRestoredFromBackup(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicators := c.startNodes(ctx, 3)
		mustConfirm(t, replicators[0], mustPlan(t, replicators[0], initialIntent()))
		backup := c.store.Backup()
		for number := range 8 {
			if _, err := c.store.Put(ctx, "other", []byte("x"), uint64(number+1)*min(uint64(number), 1), ""); err != nil {
				t.Fatal(err)
			}
		}
		mustConfirm(t, replicators[0], mustPlan(t, replicators[0], deadlineIntent("ann", 80)))
		time.Sleep(propagationTime)
		c.wantRevision(2, replicators...)
		c.store.Restore(backup)
		c.isolate(replicators[2].options.Core.Self, true)
		for number, deadline := range []policy.Milliseconds{70, 60} {
			mustConfirm(t, replicators[1], mustPlan(t, replicators[1], deadlineIntent("bob", deadline)))
			time.Sleep(2 * DefaultWatchTimeout)
			c.wantRevision(policy.Revision(3+number), replicators...)
		}
	})
}
