package oper

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"pimentoseam/core/crash"
	"pimentoseam/core/digest"
	"pimentoseam/io/store"
	"pimentoseam/platform"
)

// maxLiftTries limits the writes of a lifted hold, which fail if the leader writes at the same time.
const maxLiftTries = 5

type heldCommand struct {
	store string
	lift  string
}

func init() {
	register("held", "List the requests that are held because they crash upstreams, or lift a hold.", &heldCommand{})
}

func (c *heldCommand) define(clause *kingpin.CmdClause) {
	clause.Flag("store", "Address of the operations platform's store, in place of an entry's administration interface.").StringVar(&c.store)
	clause.Flag("lift", "Digest of a request to clear. On the platform that takes effect within seconds.").StringVar(&c.lift)
}

func (c *heldCommand) run(ctx context.Context, o *Options) (Code, error) {
	list, err := c.held(ctx, o)
	if err != nil {
		return Failure, err
	}
	if o.json {
		return OK, printJSON(list)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REQUEST\tSTRIKES\tLEFT")
	for _, h := range list {
		fmt.Fprintf(w, "%s\t%d\t%v\n", h.Request, h.Strikes, h.Left.Duration())
	}
	return OK, w.Flush()
}

// held lifts the hold that the flags name, if any, and returns the holds in force.
func (c *heldCommand) held(ctx context.Context, o *Options) ([]crash.Summary, error) {
	if c.store != "" {
		return c.heldInStore(ctx)
	}
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	if c.lift != "" {
		return client.Lift(ctx, c.lift)
	}
	return client.Held(ctx)
}

// heldInStore is held for the store, from which the leader of the entries takes what is lifted.
func (c *heldCommand) heldInStore(ctx context.Context) ([]crash.Summary, error) {
	addr, err := netip.ParseAddrPort(c.store)
	if err != nil {
		return nil, eris.Wrap(err, "--store")
	}
	kv := platform.NewStore(addr)
	for try := 1; ; try++ {
		item, err := kv.Get(ctx, crash.StoreKey)
		if err != nil {
			return nil, err
		}
		holds, lifted, err := crash.ParseHolds(item.Value)
		if err != nil || c.lift == "" {
			return crash.Describe(holds), err
		}
		var d digest.Sum
		if err := d.UnmarshalText([]byte(c.lift)); err != nil {
			return nil, eris.Wrap(err, "--lift")
		}
		put := platform.Put{Key: crash.StoreKey, Value: crash.EncodeHolds(holds, append(lifted, d))}
		_, _, err = kv.Commit(ctx, []platform.Condition{{Key: crash.StoreKey, Revision: item.Revision}}, []platform.Put{put}, nil)
		conflict := new(store.ConflictError)
		if err == nil || !errors.As(err, &conflict) || try == maxLiftTries {
			return crash.Describe(holds), err
		}
	}
}
