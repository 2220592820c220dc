/** Handles the control methods of one node; resolves with the result of the method. */
export type ControlHandler = (
  method: string,
  parameters: unknown,
) => Promise<unknown>;
