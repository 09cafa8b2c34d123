// Package matrix holds the fault-injection tests of the kernel. Each cell of
// the matrix runs a mix of requests through the real kernels of several
// instances in virtual time, with simulated endpoints and a simulated network, and
// injects each fault at each step of a request. After the run the answers that
// callers received are checked against what the endpoints executed. The package
// contains tests only.
package matrix
