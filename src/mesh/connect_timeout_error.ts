/** Thrown if a connection is not established in time. */
export class ConnectTimeoutError extends Error {
  constructor(milliseconds: number) {
    super(`Cannot connect within ${milliseconds} ms`);
    this.name = "ConnectTimeoutError";
  }
}
