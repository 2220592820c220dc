/** The connection of an answer was reset before the answer was known to be complete. */
export class ConnectionResetError extends Error {
  override readonly name = "ConnectionResetError";

  constructor() {
    super("Connection was reset");
  }
}
