/** An incarnation of a backend server that checks which one a call names. */
export interface Incarnation {
  /** Call identifiers of the requests that it ran, in order. */
  readonly runs: string[];
  /** Call identifiers of the requests that it rejected, since they name another one. */
  readonly rejected: string[];
  /** When it began to listen, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  /** When it ran its first call, in milliseconds since the Unix epoch; undefined before. */
  firstRunAt: number | undefined;
  close(): Promise<void>;
}
