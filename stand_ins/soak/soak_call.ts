/** A request that the soak sent, and its result. */
export interface SoakCall {
  readonly identifier: string;
  readonly idempotent: boolean;
  /** The service of the backend server on the VM from which it was sent. */
  readonly callerService: string;
  readonly url: string;
  /** API key that was sent; undefined for a call to a public route. */
  readonly key?: string;
  /** In milliseconds since the Unix epoch. */
  readonly sentAt: number;
  /** Index of the VM from which it was sent. */
  readonly vm: number;
  /** Incarnation of that VM's node when the request was sent; 1 is the first. */
  readonly incarnation: number;
  /** Undefined until the request ends; 0 if the connection ended without a complete response. */
  status: number | undefined;
  /** When the response arrived, in milliseconds since the Unix epoch; undefined without one. */
  respondedAt?: number;
  /** The backend server whose answer stated a rate limit. */
  limitedServer?: string;
  /** The backend server whose answer stated that it is about to leave. */
  leavingServer?: string;
  /** Whether the response is the complete answer to this request. */
  whole: boolean;
}
