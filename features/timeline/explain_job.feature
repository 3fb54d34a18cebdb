Feature: Explanation of a job's course from the logs

  Scenario: A job that was refused
    Given these lines of a log
      """
      at=1000.00000 event=job_refused job=aa queue=q team=t retry_ms=700 process=n1 data_centre=d
      at=1900.00000 event=job_refused job=aa queue=q team=t retry_ms=500 process=n1 data_centre=d
      """
    Then job "aa" is explained as "turned away 2 times, as it could not end in time"

  Scenario: A job that lost its runs and was late
    Given these lines of a log
      """
      at=1000.00000 event=job_admitted job=bb queue=q team=t tasks=2 process=n1 data_centre=d
      at=1010.00000 event=job_admitted job=cc queue=q team=t tasks=2 process=n1 data_centre=d
      at=1600.00000 event=run_assigned job=bb task=0.0.0 run=1 worker=w process=n1 data_centre=d
      at=5700.00000 event=run_lost job=bb task=0.0.0 run=1 worker=w process=n1 data_centre=d
      at=9000.00000 event=job_ended job=bb state=completed took_ms=8000 process=n1 data_centre=d
      """
    Then job "bb" is explained as "admitted after 0 refusals; first task given after 600 ms; 1 runs were lost with their worker or not received; completed after 8000 ms"

  Scenario: A job that failed
    Given these lines of a log
      """
      at=1000.00000 event=job_admitted job=bb queue=q team=t tasks=2 process=n1 data_centre=d
      at=1100.00000 event=run_assigned job=bb task=0.0.0 run=1 worker=w process=n1 data_centre=d
      at=1500.00000 event=run_ended job=bb task=0.0.0 run=1 how=failed worker=w process=n1 data_centre=d
      at=1500.00001 event=job_ended job=bb state=failed took_ms=500 process=n1 data_centre=d
      """
    Then job "bb" is explained as "admitted after 0 refusals; first task given after 100 ms; 1 runs did not end well; failed after 500 ms"

  Scenario: A job that was given up because a task crashed its workers
    Given these lines of a log
      """
      at=1000.00000 event=job_admitted job=bb queue=q team=t tasks=2 process=n1 data_centre=d
      at=1100.00000 event=run_assigned job=bb task=0.0.0 run=1 worker=w process=n1 data_centre=d
      at=4500.00000 event=run_lost job=bb task=0.0.0 run=1 worker=w process=n1 data_centre=d
      at=4500.00001 event=task_suspected job=bb task=0.0.0 worker=w evidence=only_job_started crashes=1 weight=8/12 process=n1 data_centre=d
      at=8500.00000 event=run_lost job=bb task=0.0.0 run=2 worker=v process=n1 data_centre=d
      at=8500.00001 event=task_suspected job=bb task=0.0.0 worker=v evidence=only_job_started crashes=2 weight=16/12 process=n1 data_centre=d
      at=8500.00002 event=job_given_up job=bb task=0.0.0 crashes=2 process=n1 data_centre=d
      at=8500.00003 event=job_ended job=bb state=failed took_ms=7500 process=n1 data_centre=d
      """
    Then job "bb" is explained as "admitted after 0 refusals; first task given after 100 ms; 2 runs were lost with their worker or not received; 2 workers crashed under its tasks; given up because of task 0.0.0; failed after 7500 ms"

  Scenario: A job whose calls did not reach a leader
    Given these lines of a log
      """
      at=1000.00000 event=caller_answered job=dd method=POST status=504 process=n1 data_centre=d
      """
    Then job "dd" is explained as "never admitted; its calls were answered 504"

  Scenario: A job that no log names
    Given these lines of a log
      """
      at=1000.00000 event=started process=n1 data_centre=d
      """
    Then job "ee" is explained as "no line names it: it never reached a process that logs here"

  Scenario: A job during which the next loss of a voter would have stopped service
    Given these lines of a log
      """
      at=500.00000 event=loss_margin term=1 margin=1 promised=1 voters=3 silent=none catching_up=0 below_ms=0 held_ms=0 process=n1 data_centre=d
      at=1000.00000 event=job_admitted job=ff queue=q team=t tasks=2 process=n1 data_centre=d
      at=1600.00000 event=loss_margin term=1 margin=0 promised=1 voters=3 silent=n2/a catching_up=0 below_ms=0 held_ms=0 process=n1 data_centre=d
      at=6100.00000 event=loss_margin term=1 margin=1 promised=1 voters=3 silent=none catching_up=0 below_ms=3000 held_ms=1500 process=n1 data_centre=d
      at=9000.00000 event=job_ended job=ff state=completed took_ms=8000 process=n1 data_centre=d
      at=9600.00000 event=loss_margin term=1 margin=0 promised=1 voters=3 silent=n2/a catching_up=0 below_ms=0 held_ms=0 process=n1 data_centre=d
      """
    Then job "ff" is explained as "admitted after 0 refusals; no worker was given any of its tasks; completed after 8000 ms"
    And the low-margin span of job "ff" is described as "from 0.600s for 3.000s the voters bore 0 of 1 promised losses at the least; silent: n2/a"
