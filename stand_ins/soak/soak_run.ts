/** A request as a backend server ran it. */
export interface SoakRun {
  readonly callIdentifier: string;
  readonly url: string;
  readonly service: string;
  readonly callerService: string;
}
