/** Called when a call to the platform failed or its answer is malformed. */
export type FailureListener = (call: string, failure: string) => void;
