package membudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBufferReadsWhatFits(t *testing.T) {
	budget := New(64 << 10)
	text := bytes.Repeat([]byte("0123456789abcdef"), 2<<10)
	one := budget.NewBuffer()
	n, err := one.ReadFrom(bytes.NewReader(text))
	require.NoError(t, err)
	require.EqualValues(t, len(text), n)
	require.Equal(t, text, one.Bytes())
	require.Positive(t, budget.Used())

	two := budget.NewBuffer()
	_, err = two.ReadFrom(io.MultiReader(bytes.NewReader(text), strings.NewReader(string(text))))
	require.ErrorIs(t, err, ErrFull)
	require.LessOrEqual(t, budget.Used(), int64(64<<10))
	require.True(t, bytes.HasPrefix(append(text, text...), two.Bytes()))
	one.Release()
	two.Release()
	require.Zero(t, budget.Used())
}

// Large bodies take all of the budget. Small ones must be read all the same.
func TestSmallBodyIsReadBesideLargeOnes(t *testing.T) {
	budget := New(1 << 20)
	large := budget.NewBuffer()
	defer large.Release()
	_, err := large.ReadFrom(endless{})
	require.ErrorIs(t, err, ErrFull)
	for _, size := range []int{0, 100, FreeBytes - 1} {
		small := budget.NewBuffer()
		_, err := small.ReadFrom(strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		require.Len(t, small.Bytes(), size)
		small.Release()
	}
}

func TestBufferTakesAppendedDataUntilTheBudgetIsUsedUp(t *testing.T) {
	budget := New(32 << 10)
	b := budget.NewBuffer()
	block := bytes.Repeat([]byte("x"), 10<<10)
	require.NoError(t, b.Append(block))
	require.NoError(t, b.Append(block))
	require.Len(t, b.Bytes(), 20<<10)
	b.Reset()
	require.NoError(t, b.Append(block))
	require.Len(t, b.Bytes(), 10<<10)
	require.ErrorIs(t, b.Append(bytes.Repeat(block, 8)), ErrFull)
	b.Release()
	require.Zero(t, budget.Used())
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Bodies that are read at the same speed use up the budget together. As many as it has room for
// must be read, however late those that failed are released.
func TestBodiesReadInLockstepAllFail(t *testing.T) {
	const bodies, size, step = 8, 200 << 10, 100 << 10
	budget := New(1 << 20)
	var reached, finished sync.WaitGroup
	reached.Add(bodies)
	var whole, full atomic.Int64
	for range bodies {
		finished.Go(func() {
			first, rest := strings.NewReader(strings.Repeat("x", step)), strings.NewReader(strings.Repeat("x", size-step))
			b := budget.NewBuffer()
			err := b.ReadAll(io.MultiReader(first, barrier{&reached}, rest))
			switch {
			case err == nil && len(b.Bytes()) == size:
				whole.Add(1)
			case errors.Is(err, ErrFull) && len(b.Bytes()) == 0:
				full.Add(1)
			}
		})
	}
	finished.Wait()
	require.EqualValues(t, 4, whole.Load())
	require.EqualValues(t, 4, full.Load())
	require.EqualValues(t, 4*(256<<10-FreeBytes), budget.Used())
}

// barrier is an empty reader that ends once all others have been reached.
type barrier struct{ reached *sync.WaitGroup }

func (b barrier) Read([]byte) (int, error) {
	b.reached.Done()
	b.reached.Wait()
	return 0, io.EOF
}
