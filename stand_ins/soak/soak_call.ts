/** A request that the soak sent, and what came of it. */
export interface SoakCall {
  readonly identifier: string;
  readonly idempotent: boolean;
  /** The service beside whose backend server it was sent. */
  readonly callerService: string;
  readonly url: string;
  /** In milliseconds since the Unix epoch. */
  readonly sentAt: number;
  readonly vm: number;
  /** Starts of that VM's node so far. */
  readonly life: number;
  /** Undefined while there is no answer; 0 where the connection ended without one. */
  status: number | undefined;
  /** Whether the answer is the whole one of this request. */
  whole: boolean;
}
