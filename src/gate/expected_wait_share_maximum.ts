/**
 * Share of the time that a call may wait for which it is expected to wait at
 * most. Service times vary, so a call that is expected to wait for all of this
 * time is often refused after it, when the caller has little time left for
 * another attempt.
 */
export const expectedWaitShareMaximum = 1 / 3;
