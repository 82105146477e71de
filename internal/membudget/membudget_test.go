package membudget

import (
	"bytes"
	"io"
	"strings"
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
