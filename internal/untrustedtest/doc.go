// Package untrustedtest tests entry hosts with clients that misbehave.
//
// Its tests start the built binary on the stand-in platform, open many connections that
// send as much as they may and then stop, and check that the process lives, that its
// memory and its descriptors stay within its settings, and that ordinary requests are
// answered. They measure a whole process, so no other test may run beside them: .ci/run
// runs them as the last step.
package untrustedtest
