package standin_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin"
)

func TestTableAppliesWriteWhoseReplyIsLost(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := standin.NewTable("config/")
	table.Set(standin.FaultSet{LoseReplyEvery: 1})
	_, err := table.Apply(ctx, []platform.Write{{Key: "config/staged", Value: []byte("1")}})
	is.True(errors.Is(err, platform.ErrAmbiguous))
	table.Set(standin.FaultSet{})
	row, err := table.Get(ctx, "config/staged")
	is.NoErr(err)
	is.Equal(string(row.Value), "1")
	is.Equal(len(table.Log()), 1)
}

func TestCutLinkAffectsOneClientOnly(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := standin.NewTable()
	var a, b standin.Link
	a.SetCut(true)
	_, err := a.Table(table).Get(ctx, "x")
	is.True(errors.Is(err, platform.ErrUnavailable))
	_, err = b.Table(table).Get(ctx, "x")
	is.True(errors.Is(err, platform.ErrNotFound))

	w := newWorker()
	_, err = a.Worker(w).RaiseFence(ctx, 1)
	is.True(err != nil)
	_, err = b.Worker(w).RaiseFence(ctx, 1)
	is.NoErr(err)
}
