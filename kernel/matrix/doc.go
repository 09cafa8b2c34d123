// Package matrix is the fault matrix: whole request mixes through the real
// kernels of several instances under virtual time, every fault at every step,
// with small fakes at the kernel's interfaces. After each run the endpoints'
// own books are compared with what the callers were told. It holds tests only.
package matrix
